#include "core/idempotency/keytable.h"

#include <algorithm>

namespace Laburnummast::Idempotency
{
namespace
{

constexpr std::size_t entryOverhead = 160;

std::size_t sizeOf(std::string_view key, const std::shared_ptr<const StoredAnswer> &answer)
{
    return entryOverhead + 2 * key.size() + (answer ? answer->body.size() : 0);
}

}

KeyTable::KeyTable(const KeyTableOptions &options, std::string self, Millis startedAt)
    : m_options(options)
    , m_self(std::move(self))
    , m_completeSince(startedAt)
{
}

KeyVerdict KeyTable::verdictOf(const Entry &entry, std::string_view asker) const
{
    switch (entry.state) {
    case State::InFlight:
        return InFlight{};
    case State::Answered:
        return Answered{.answer = entry.answer};
    case State::Claimed:
        return entry.claimant == asker ? KeyVerdict(RunIt{}) : ClaimedBy{.member = entry.claimant};
    case State::Unknown:
        return CannotSay{};
    }
    return CannotSay{};
}

KeyVerdict KeyTable::begin(std::string_view key, Millis now)
{
    const auto it = m_entries.find(std::string(key));
    if (it != m_entries.end()) {
        // A claim by this member itself is the repeat that runs here; a foreign one refuses the late first attempt.
        auto verdict = verdictOf(it->second, m_self);
        if (std::holds_alternative<RunIt>(verdict)) {
            it->second.state = State::InFlight;
        }
        return verdict;
    }
    put(key, State::InFlight, now);
    return RunIt{};
}

KeyVerdict KeyTable::claim(std::string_view key, std::string_view claimant, Millis age, Millis now)
{
    const auto it = m_entries.find(std::string(key));
    if (it != m_entries.end()) {
        return verdictOf(it->second, claimant);
    }
    const bool covered = age <= m_options.window && now - age >= m_completeSince;
    if (!covered) {
        return CannotSay{};
    }
    put(key, State::Claimed, now).claimant = claimant;
    return RunIt{};
}

KeyVerdict KeyTable::claimHanded(std::string_view key, std::string_view gone, std::string_view claimant, Millis now)
{
    const auto it = m_entries.find(std::string(key));
    if (it != m_entries.end()) {
        return verdictOf(it->second, claimant);
    }
    if (!m_adopted.contains(gone)) {
        return CannotSay{};
    }
    put(key, State::Claimed, now).claimant = claimant;
    return RunIt{};
}

KeyVerdict KeyTable::look(std::string_view key) const
{
    const auto it = m_entries.find(std::string(key));
    return it == m_entries.end() ? KeyVerdict(RunIt{}) : verdictOf(it->second, m_self);
}

void KeyTable::finishAnswered(std::string_view key, StoredAnswer answer, Millis now)
{
    if (answer.body.size() > m_options.maxAnswerBytes) {
        answer.body.clear();
        answer.bodyDropped = true;
    }
    erase(key);
    auto &entry = put(key, State::Answered, now);
    entry.answer = std::make_shared<const StoredAnswer>(std::move(answer));
    m_bytes += entry.answer->body.size();
    makeRoom();
}

void KeyTable::finishNotRun(std::string_view key)
{
    erase(key);
}

void KeyTable::finishUnknown(std::string_view key, Millis now)
{
    erase(key);
    put(key, State::Unknown, now);
}

KeyTable::Entry &KeyTable::put(std::string_view key, State state, Millis now)
{
    auto &entry = m_entries[std::string(key)];
    entry = {.state = state, .since = now, .claimant = {}, .answer = {}};
    m_ages.push_back({.since = now, .key = std::string(key)});
    m_bytes += sizeOf(key, {});
    makeRoom();
    return entry;
}

void KeyTable::erase(std::string_view key)
{
    const auto it = m_entries.find(std::string(key));
    if (it != m_entries.end()) {
        m_bytes -= sizeOf(key, it->second.answer);
        m_entries.erase(it);
    }
}

KeyTable::Age KeyTable::takeOldest()
{
    auto oldest = std::move(m_ages.front());
    m_ages.pop_front();
    return oldest;
}

// What is dropped early shortens the time the table vouches for: a repeat of it gets "unknown", never a second run.
void KeyTable::makeRoom()
{
    while (m_entries.size() > m_options.maxKeys || m_bytes > m_options.maxTotalBytes) {
        if (m_ages.size() <= 1) {
            return;
        }
        const auto oldest = takeOldest();
        const auto it = m_entries.find(oldest.key);
        if (it == m_entries.end() || it->second.since != oldest.since) {
            continue;
        }
        if (it->second.state == State::InFlight) {
            m_ages.push_back(oldest);
            return;
        }
        m_completeSince = std::max(m_completeSince, oldest.since);
        m_adopted.clear();
        erase(oldest.key);
    }
}

std::vector<HandedKey> KeyTable::handOver(Millis now) const
{
    std::vector<HandedKey> keys;
    for (const auto &[key, entry] : m_entries) {
        HandedKey handed{.key = key, .age = now - entry.since, .known = entry.state == State::Answered, .claimedBy = {}, .answer = {}};
        if (entry.state == State::Claimed) {
            handed.claimedBy = entry.claimant;
        }
        if (entry.answer) {
            handed.answer = *entry.answer;
        }
        keys.push_back(std::move(handed));
    }
    return keys;
}

void KeyTable::adopt(std::string_view from, const std::vector<HandedKey> &keys, Millis now)
{
    for (const auto &it : keys) {
        if (m_entries.contains(it.key)) {
            continue;
        }
        const auto state = it.known ? State::Answered : it.claimedBy.empty() ? State::Unknown : State::Claimed;
        auto &entry = put(it.key, state, now);
        entry.claimant = it.claimedBy;
        if (it.known) {
            entry.answer = std::make_shared<const StoredAnswer>(it.answer);
            m_bytes += it.answer.body.size();
        }
    }
    m_adopted.insert(std::string(from));
    makeRoom();
}

void KeyTable::expire(Millis now)
{
    while (!m_ages.empty() && now - m_ages.front().since > m_options.window) {
        const auto oldest = takeOldest();
        const auto it = m_entries.find(oldest.key);
        if (it == m_entries.end() || it->second.since != oldest.since) {
            continue;
        }
        if (it->second.state == State::InFlight) {
            m_ages.push_back({.since = now, .key = oldest.key});
            it->second.since = now;
            continue;
        }
        erase(oldest.key);
    }
}

}
