#include "daemon/logtail.h"

#include "core/text.h"
#include "process/log.h"
#include "process/wallclock.h"

#include <utility>

namespace Laburnummast::Daemon
{
namespace
{

constexpr int recordsPerRead = 500;
constexpr int maxSnapshotsTried = 4;
constexpr Millis idleInterval = 100_ms;
constexpr Millis retryInterval = 300_ms;
constexpr Millis stopCheckInterval = 20_ms;

}

LogTail::LogTail(Net::LogClient log, Millis pollTimeout, Handlers handlers)
    : m_log(std::move(log))
    , m_pollTimeout(pollTimeout)
    , m_handlers(std::move(handlers))
{
}

LogTail::~LogTail()
{
    stop();
}

void LogTail::start()
{
    m_thread = std::thread([this] { run(); });
}

void LogTail::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void LogTail::sleepUnlessStopped(Millis duration)
{
    const auto deadline = Process::steadyNow() + duration;
    while (!m_stopping && Process::steadyNow() < deadline) {
        std::this_thread::sleep_for(Process::toChrono(stopCheckInterval));
    }
}

void LogTail::run()
{
    while (!m_stopping) {
        if (!m_reading) {
            sleepUnlessStopped(idleInterval);
        } else if (!readOnce()) {
            ++m_failures;
            sleepUnlessStopped(retryInterval);
        }
    }
}

void LogTail::recordReachability(bool reachable)
{
    if (m_reachable.exchange(reachable) == reachable) {
        return;
    }
    if (reachable) {
        Process::logInfo("log-reachable");
    } else {
        Process::logWarning("log-unreachable", {{"position", Text::concat(m_handlers.position())}});
    }
}

bool LogTail::readOnce()
{
    if (!m_snapshotsRead && m_handlers.position() == Config::noOffset && !loadSnapshot()) {
        return false;
    }
    const auto from = m_handlers.position() + 1;
    ++m_reads;
    auto page = m_log.read(Net::noteStream, from, recordsPerRead, m_pollTimeout);
    recordReachability(std::holds_alternative<Net::LogPage>(page));
    if (std::holds_alternative<Net::LogError>(page)) {
        return false;
    }
    auto &records = std::get<Net::LogPage>(page);
    if (Config::eraOf(records.next) != Config::eraOf(from)) {
        return changeEra(records, from);
    }
    m_laterEraSeenAt.reset();
    const bool aheadOfLog = records.next < from;
    if (std::exchange(m_aheadOfLog, aheadOfLog) != aheadOfLog && aheadOfLog) {
        Process::logWarning("ahead-of-log", {{"position", Text::concat(from - 1)}, {"next", Text::concat(records.next)}});
    }
    if (aheadOfLog) {
        // The log answers at once, however long the read would wait for new records.
        return false;
    }
    if (records.first > from) {
        // The log has discarded records that were not applied here; only a snapshot that covers them closes the gap.
        const bool caughtUp = loadSnapshot() && m_handlers.position() + 1 >= records.first;
        if (m_behindRetention.exchange(!caughtUp) != !caughtUp && !caughtUp) {
            Process::logError("behind-retention", {{"position", Text::concat(from - 1)}, {"oldest", Text::concat(records.first)}});
        }
        return caughtUp;
    }
    if (!records.records.empty()) {
        m_handlers.applyRecords(std::move(records.records));
    }
    return true;
}

bool LogTail::changeEra(const Net::LogPage &page, Config::Offset from)
{
    if (Config::eraOf(page.next) < Config::eraOf(from)) {
        return false;
    }
    const auto now = Process::steadyNow();
    if (!m_laterEraSeenAt) {
        Process::logWarning("log-restored", {{"era", Text::concat(Config::eraOf(page.next))}, {"position", Text::concat(from - 1)}});
        m_laterEraSeenAt = now;
    }
    m_handlers.enterEra(page.first, now - *m_laterEraSeenAt);
    if (m_handlers.position() + 1 == from) {
        sleepUnlessStopped(idleInterval);
    }
    return true;
}

bool LogTail::loadSnapshot()
{
    const auto page = m_log.readLast(Net::snapshotStream, maxSnapshotsTried);
    recordReachability(std::holds_alternative<Net::LogPage>(page));
    if (std::holds_alternative<Net::LogError>(page)) {
        return false;
    }
    m_snapshotsRead = true;
    const auto &records = std::get<Net::LogPage>(page).records;
    for (auto it = records.rbegin(); it != records.rend(); ++it) {
        // A member that was behind may have appended an older snapshot after a newer one, so all of them are tried.
        m_handlers.applySnapshot(it->data);
    }
    return true;
}

}
