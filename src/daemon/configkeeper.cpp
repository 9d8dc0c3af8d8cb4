#include "daemon/configkeeper.h"

#include "core/text.h"
#include "daemon/runtimeconfig.h"
#include "process/log.h"
#include "process/wallclock.h"

#include <algorithm>
#include <iterator>
#include <thread>

namespace Laburnummast::Daemon
{
namespace
{

using Process::steadyNow;

constexpr Millis appendTimeout = 1500_ms;
constexpr Millis publishLimit = 10_s;
constexpr Millis verdictLimit = 5_s;
constexpr Millis publishPause = 200_ms;
constexpr int scanRecords = 1000;
constexpr std::size_t mostRecentBytes = 512 << 10;

bool findInLog(const Net::LogClient &log, const std::string &id, Config::Offset from)
{
    const auto page = log.read(Net::noteStream, from, scanRecords, {});
    const auto *records = std::get_if<Net::LogPage>(&page);
    if (records == nullptr) {
        return false;
    }
    const auto isIt = [&](const Net::LogRecord &record) {
        const auto parsed = Config::parseNote(record.data, "note");
        const auto *note = std::get_if<Config::Note>(&parsed);
        return note != nullptr && note->id == id;
    };
    return std::any_of(records->records.begin(), records->records.end(), isIt);
}

}

bool ConfigKeeper::apply(const std::vector<Net::LogRecord> &records)
{
    bool moved = false;
    for (const auto &it : records) {
        if (it.offset <= position().offset) {
            continue;
        }
        Config::Verdict verdict;
        {
            const std::lock_guard lock(m_mutex);
            verdict = m_state.apply(it.offset, it.data);
            keepRecent(it);
        }
        noteVerdict(verdict, it.offset);
        moved = true;
    }
    return moved;
}

void ConfigKeeper::noteVerdict(const Config::Verdict &verdict, Config::Offset offset)
{
    const auto at = Text::concat(offset);
    std::visit(
        Overloaded{[&](const Config::Accepted &it) {
                       ++m_counters.accepted;
                       Process::logInfo("note-accepted", {{"id", it.noteId}, {"offset", at}});
                   },
                   [&](const Config::Repeated &) { ++m_counters.repeated; },
                   [&](const Config::Rejected &it) {
                       ++m_counters.rejected;
                       Process::logInfo("note-rejected", {{"id", it.noteId}, {"offset", at}, {"reason", nameOf(it.reasons.front().kind)}});
                   },
                   [&](const Config::Unreadable &it) {
                       ++m_counters.unreadable;
                       const bool future = std::holds_alternative<Config::FutureFormat>(it.failure);
                       Process::logWarning("record-unreadable", {{"offset", at}, {"kind", future ? "future-format" : "malformed"}});
                   }},
        verdict);
}

bool ConfigKeeper::takeSnapshot(const std::string &bytes)
{
    auto read = Config::ConfigState::readSnapshot(bytes);
    if (const auto *failure = std::get_if<Config::SnapshotError>(&read)) {
        ++m_counters.snapshotsRefused;
        Process::logWarning("snapshot-refused", {{"reason", nameOf(*failure)}});
        return false;
    }
    auto &state = std::get<Config::ConfigState>(read);
    if (state.offset() <= position().offset) {
        return false;
    }
    Process::logInfo("snapshot-taken", {{"offset", Text::concat(state.offset())}});
    {
        const std::lock_guard lock(m_mutex);
        m_state = std::move(state);
        m_recent.clear();
        m_recentBytes = 0;
        m_recentAfter = m_state.offset();
    }
    return true;
}

// A change of a large configuration is small: sending the whole of it for each would not fit the control budget.
void ConfigKeeper::keepRecent(const Net::LogRecord &record)
{
    m_recent.push_back(record);
    m_recentBytes += record.data.size();
    while (m_recentBytes > mostRecentBytes) {
        m_recentAfter = m_recent.front().offset;
        m_recentBytes -= m_recent.front().data.size();
        m_recent.pop_front();
    }
}

std::optional<std::vector<Net::LogRecord>> ConfigKeeper::recordsSince(Config::Offset have) const
{
    const std::lock_guard lock(m_mutex);
    if (have < m_recentAfter) {
        return std::nullopt;
    }
    std::vector<Net::LogRecord> records;
    std::copy_if(m_recent.begin(), m_recent.end(), std::back_inserter(records), [have](const auto &it) { return it.offset > have; });
    return records;
}

void ConfigKeeper::announce()
{
    m_changed.notify_all();
}

std::shared_ptr<const RuntimeConfig> ConfigKeeper::runtimeConfig() const
{
    const std::lock_guard lock(m_mutex);
    return std::make_shared<const RuntimeConfig>(m_state);
}

Result<Config::NoteOutcome, PublishError> ConfigKeeper::publish(const Net::LogClient &log, const std::string &text, const std::string &id)
{
    const auto until = steadyNow() + publishLimit;
    const auto from = position().offset + 1;
    // The same note may have been published elsewhere and not have come here yet.
    bool inLog = findInLog(log, id, from);
    while (!inLog && steadyNow() < until) {
        const auto appended = log.append(Net::noteStream, text, appendTimeout);
        inLog = std::holds_alternative<Config::Offset>(appended);
        if (!inLog && std::get<Net::LogError>(appended) == Net::LogError::Ambiguous) {
            // The append may have taken effect: the note's id in the log tells.
            inLog = findInLog(log, id, from);
        }
        if (!inLog) {
            std::this_thread::sleep_for(Process::toChrono(publishPause));
        }
    }
    std::unique_lock lock(m_mutex);
    const auto known = [&] { return m_state.findOutcome(id) != nullptr; };
    if (m_changed.wait_for(lock, Process::toChrono(inLog ? verdictLimit : Millis{}), known)) {
        return *m_state.findOutcome(id);
    }
    return PublishError{.kind = inLog ? PublishErrorKind::NoVerdictYet : PublishErrorKind::LogUnreachable};
}

std::optional<Config::NoteOutcome> ConfigKeeper::outcomeOf(std::string_view noteId) const
{
    const std::lock_guard lock(m_mutex);
    const auto *it = m_state.findOutcome(noteId);
    return it == nullptr ? std::nullopt : std::optional(*it);
}

std::vector<Config::Rejection> ConfigKeeper::check(const Config::Note &note) const
{
    const std::lock_guard lock(m_mutex);
    return m_state.check(note);
}

std::vector<Config::NoteOutcome> ConfigKeeper::outcomes() const
{
    const std::lock_guard lock(m_mutex);
    return {m_state.outcomes().begin(), m_state.outcomes().end()};
}

std::string ConfigKeeper::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.writeSnapshot();
}

Membership::ConfigPosition ConfigKeeper::position() const
{
    const std::lock_guard lock(m_mutex);
    return {.offset = m_state.offset(), .hash = m_state.hash()};
}

}
