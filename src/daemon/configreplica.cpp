#include "daemon/configreplica.h"

#include "core/text.h"
#include "daemon/runtimeconfig.h"
#include "process/log.h"
#include "process/wallclock.h"

#include <algorithm>
#include <iterator>
#include <thread>
#include <utility>

namespace Laburnummast::Daemon
{
namespace
{

using Process::steadyNow;

constexpr Millis appendTimeout = 1500_ms;
constexpr Millis publishTimeout = 10_s;
constexpr Millis verdictTimeout = 5_s;
constexpr Millis appendRetryInterval = 200_ms;
constexpr int maxScannedRecords = 1000;
constexpr std::size_t maxRecentBytes = 512 << 10;

// Returns whether the note is among the first records from `from` on; false also if the log cannot be read.
bool findInLog(const Net::LogClient &log, const std::string &id, Config::Offset from)
{
    const auto page = log.read(Net::noteStream, from, maxScannedRecords, {});
    const auto *records = std::get_if<Net::LogPage>(&page);
    if (records == nullptr) {
        return false;
    }
    const auto hasId = [&](const Net::LogRecord &record) {
        const auto parsed = Config::parseNote(record.data, "note");
        const auto *note = std::get_if<Config::Note>(&parsed);
        return note != nullptr && note->id == id;
    };
    return std::any_of(records->records.begin(), records->records.end(), hasId);
}

}

bool ConfigReplica::apply(const std::vector<Net::LogRecord> &records)
{
    bool applied = false;
    for (const auto &it : records) {
        if (it.offset <= position().offset) {
            continue;
        }
        Config::Verdict verdict;
        {
            const std::lock_guard lock(m_mutex);
            verdict = m_state.apply(it.offset, it.data);
            addRecent(it);
        }
        recordVerdict(verdict, it.offset);
        applied = true;
    }
    return applied;
}

void ConfigReplica::recordVerdict(const Config::Verdict &verdict, Config::Offset offset)
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
                       const bool future = std::holds_alternative<Config::FutureFormat>(it.error);
                       Process::logWarning("record-unreadable", {{"offset", at}, {"kind", future ? "future-format" : "malformed"}});
                   }},
        verdict);
}

bool ConfigReplica::applySnapshot(const std::string &bytes)
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
    {
        const std::lock_guard lock(m_mutex);
        if (state.era() > m_state.era()) {
            m_lostRecords = bufferedRecordsOf(m_state.acceptedNotesMissingIn(state));
            if (!m_lostRecords.empty()) {
                return false;
            }
        }
        m_state = std::move(state);
        m_recentRecords.clear();
        m_recentBytes = 0;
        m_recentAfter = m_state.offset();
    }
    Process::logInfo("snapshot-taken", {{"offset", Text::concat(position().offset)}});
    return true;
}

void ConfigReplica::enterEra(Config::Offset firstRetained)
{
    const std::lock_guard lock(m_mutex);
    m_state.enterEra(firstRetained);
    m_recentRecords.clear();
    m_recentBytes = 0;
    m_recentAfter = m_state.offset();
}

std::vector<std::string> ConfigReplica::takeLostRecords()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_lostRecords, {});
}

std::vector<std::string> ConfigReplica::bufferedRecordsOf(const std::vector<std::string> &noteIds) const
{
    std::vector<std::string> records;
    if (noteIds.empty()) {
        return records;
    }
    for (const auto &it : m_recentRecords) {
        const auto parsed = Config::parseNote(it.data, "note");
        const auto *note = std::get_if<Config::Note>(&parsed);
        if (note != nullptr && std::find(noteIds.begin(), noteIds.end(), note->id) != noteIds.end()) {
            records.push_back(it.data);
        }
    }
    return records;
}

// Keeps a record for peers that lack only a few. Sending them a snapshot of a large configuration for each small change would
// exceed the limit for control traffic.
void ConfigReplica::addRecent(const Net::LogRecord &record)
{
    m_recentRecords.push_back(record);
    m_recentBytes += record.data.size();
    while (m_recentBytes > maxRecentBytes) {
        m_recentAfter = m_recentRecords.front().offset;
        m_recentBytes -= m_recentRecords.front().data.size();
        m_recentRecords.pop_front();
    }
}

std::optional<std::vector<Net::LogRecord>> ConfigReplica::recordsSince(Config::Offset knownOffset) const
{
    const std::lock_guard lock(m_mutex);
    if (knownOffset < m_recentAfter) {
        return std::nullopt;
    }
    std::vector<Net::LogRecord> records;
    std::copy_if(m_recentRecords.begin(), m_recentRecords.end(), std::back_inserter(records), [knownOffset](const auto &it) {
        return it.offset > knownOffset;
    });
    return records;
}

void ConfigReplica::notifyWaiters()
{
    m_changed.notify_all();
}

std::shared_ptr<const RuntimeConfig> ConfigReplica::runtimeConfig() const
{
    const std::lock_guard lock(m_mutex);
    return std::make_shared<const RuntimeConfig>(m_state);
}

Result<Config::NoteOutcome, PublishError> ConfigReplica::publish(const Net::LogClient &log, const std::string &text, const std::string &id)
{
    const auto deadline = steadyNow() + publishTimeout;
    const auto from = position().offset + 1;
    // Another daemon may have appended the same note, and it may not have been applied here yet.
    bool inLog = findInLog(log, id, from);
    while (!inLog && steadyNow() < deadline) {
        const auto appended = log.append(Net::noteStream, text, appendTimeout);
        inLog = std::holds_alternative<Config::Offset>(appended);
        if (!inLog && std::get<Net::LogError>(appended) == Net::LogError::Ambiguous) {
            // The append may have succeeded, so look for the note's id in the log before retrying.
            inLog = findInLog(log, id, from);
        }
        if (!inLog) {
            std::this_thread::sleep_for(Process::toChrono(appendRetryInterval));
        }
    }
    std::unique_lock lock(m_mutex);
    const auto known = [&] { return m_state.findOutcome(id) != nullptr; };
    if (m_changed.wait_for(lock, Process::toChrono(inLog ? verdictTimeout : Millis{}), known)) {
        return *m_state.findOutcome(id);
    }
    return PublishError{.kind = inLog ? PublishErrorKind::NoVerdictYet : PublishErrorKind::LogUnreachable};
}

std::optional<Config::NoteOutcome> ConfigReplica::outcomeOf(std::string_view noteId) const
{
    const std::lock_guard lock(m_mutex);
    const auto *it = m_state.findOutcome(noteId);
    return it == nullptr ? std::nullopt : std::optional(*it);
}

std::vector<Config::Rejection> ConfigReplica::check(const Config::Note &note) const
{
    const std::lock_guard lock(m_mutex);
    return m_state.check(note);
}

std::vector<Config::NoteOutcome> ConfigReplica::outcomes() const
{
    const std::lock_guard lock(m_mutex);
    return {m_state.outcomes().begin(), m_state.outcomes().end()};
}

std::string ConfigReplica::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.writeSnapshot();
}

Membership::ConfigPosition ConfigReplica::position() const
{
    const std::lock_guard lock(m_mutex);
    return {.offset = m_state.offset(), .hash = m_state.hash()};
}

}
