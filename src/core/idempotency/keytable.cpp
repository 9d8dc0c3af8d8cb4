#include "core/idempotency/keytable.h"

#include <algorithm>

namespace Laburnummast::Idempotency
{
namespace
{

// Estimate of the memory of an entry besides its key and body. The key is stored twice: in the table and in the age queue.
constexpr std::size_t entryOverheadBytes = 160;

std::size_t entryBytes(std::string_view key, const std::shared_ptr<const StoredAnswer> &answer)
{
    return entryOverheadBytes + 2 * key.size() + (answer ? answer->body.size() : 0);
}

}

KeyTable::KeyTable(const KeyTableOptions &options, std::string self, Millis startedAt)
    : m_options(options)
    , m_self(std::move(self))
    , m_completeSince(startedAt)
{
}

KeyVerdict KeyTable::verdictOf(const Entry &entry, std::string_view requester) const
{
    switch (entry.state) {
    case State::InFlight:
        return InFlight{};
    case State::Answered:
        return Answered{.answer = entry.answer};
    case State::Claimed:
        return entry.claimant == requester ? KeyVerdict(Execute{}) : ClaimedBy{.member = entry.claimant};
    case State::Unknown:
        return OutcomeUnknown{};
    }
    return OutcomeUnknown{};
}

KeyVerdict KeyTable::begin(std::string_view key, Millis now)
{
    const auto it = m_entries.find(std::string(key));
    if (it != m_entries.end()) {
        // A claimed key: if this member holds the claim, this is the repeat that it was claimed for, which runs. Otherwise this is a
        // late first attempt, which must not run.
        auto verdict = verdictOf(it->second, m_self);
        if (std::holds_alternative<Execute>(verdict)) {
            it->second.state = State::InFlight;
        }
        return verdict;
    }
    put(key, State::InFlight, now);
    return Execute{};
}

KeyVerdict KeyTable::claim(std::string_view key, std::string_view claimant, Millis age, Millis now)
{
    const auto it = m_entries.find(std::string(key));
    if (it != m_entries.end()) {
        return verdictOf(it->second, claimant);
    }
    // Whether the key would be in the table if the first attempt had arrived here.
    const bool firstAttemptCovered = age <= m_options.repeatWindow && now - age >= m_completeSince;
    if (!firstAttemptCovered) {
        return OutcomeUnknown{};
    }
    put(key, State::Claimed, now).claimant = claimant;
    return Execute{};
}

KeyVerdict KeyTable::claimTransferred(std::string_view key, std::string_view departed, std::string_view claimant, Millis now)
{
    const auto it = m_entries.find(std::string(key));
    if (it != m_entries.end()) {
        return verdictOf(it->second, claimant);
    }
    if (!m_importedFrom.contains(departed)) {
        return OutcomeUnknown{};
    }
    put(key, State::Claimed, now).claimant = claimant;
    return Execute{};
}

KeyVerdict KeyTable::peek(std::string_view key) const
{
    const auto it = m_entries.find(std::string(key));
    return it == m_entries.end() ? KeyVerdict(Execute{}) : verdictOf(it->second, m_self);
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
    evictOldest();
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
    m_ageQueue.push_back({.since = now, .key = std::string(key)});
    m_bytes += entryBytes(key, {});
    evictOldest();
    return entry;
}

void KeyTable::erase(std::string_view key)
{
    const auto it = m_entries.find(std::string(key));
    if (it != m_entries.end()) {
        m_bytes -= entryBytes(key, it->second.answer);
        m_entries.erase(it);
    }
}

KeyTable::AgeEntry KeyTable::popOldestAge()
{
    auto oldest = std::move(m_ageQueue.front());
    m_ageQueue.pop_front();
    return oldest;
}

// Evicting a key before its window ends advances m_completeSince to the time of the key, so that a repeat of its call gets
// OutcomeUnknown and never runs again. For the same reason no imported key table counts as complete any more.
void KeyTable::evictOldest()
{
    while (m_entries.size() > m_options.maxKeys || m_bytes > m_options.maxTotalBytes) {
        if (m_ageQueue.size() <= 1) {
            return;
        }
        const auto oldest = popOldestAge();
        const auto it = m_entries.find(oldest.key);
        if (it == m_entries.end() || it->second.since != oldest.since) {
            continue;
        }
        if (it->second.state == State::InFlight) {
            // A key in flight is never evicted; the limits may be exceeded until a later call.
            m_ageQueue.push_back(oldest);
            return;
        }
        m_completeSince = std::max(m_completeSince, oldest.since);
        m_importedFrom.clear();
        erase(oldest.key);
    }
}

std::vector<TransferredKey> KeyTable::exportKeys(Millis now) const
{
    std::vector<TransferredKey> keys;
    for (const auto &[key, entry] : m_entries) {
        TransferredKey transferred{
            .key = key, .age = now - entry.since, .answered = entry.state == State::Answered, .claimedBy = {}, .answer = {}};
        if (entry.state == State::Claimed) {
            transferred.claimedBy = entry.claimant;
        }
        if (entry.answer) {
            transferred.answer = *entry.answer;
        }
        keys.push_back(std::move(transferred));
    }
    return keys;
}

void KeyTable::importKeys(std::string_view departed, const std::vector<TransferredKey> &keys, Millis now)
{
    for (const auto &it : keys) {
        if (m_entries.contains(it.key)) {
            continue;
        }
        // A key that was in flight or unknown at the leaving member is unknown here.
        const auto state = it.answered ? State::Answered : it.claimedBy.empty() ? State::Unknown : State::Claimed;
        auto &entry = put(it.key, state, now);
        entry.claimant = it.claimedBy;
        if (it.answered) {
            entry.answer = std::make_shared<const StoredAnswer>(it.answer);
            m_bytes += it.answer.body.size();
        }
    }
    m_importedFrom.insert(std::string(departed));
    evictOldest();
}

void KeyTable::expire(Millis now)
{
    while (!m_ageQueue.empty() && now - m_ageQueue.front().since > m_options.repeatWindow) {
        const auto oldest = popOldestAge();
        const auto it = m_entries.find(oldest.key);
        if (it == m_entries.end() || it->second.since != oldest.since) {
            continue;
        }
        if (it->second.state == State::InFlight) {
            m_ageQueue.push_back({.since = now, .key = oldest.key});
            it->second.since = now;
            continue;
        }
        erase(oldest.key);
    }
}

}
