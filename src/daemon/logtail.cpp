#include "daemon/logtail.h"

#include "core/text.h"
#include "process/log.h"
#include "process/wallclock.h"

namespace Laburnummast::Daemon
{
namespace
{

constexpr int recordsPerRead = 500;
constexpr int snapshotsToTry = 4;
constexpr Millis idlePause = 100_ms;
constexpr Millis failurePause = 300_ms;
constexpr Millis pauseStep = 20_ms;

}

LogTail::LogTail(Net::LogClient log, Millis poll, Handlers handlers)
    : m_log(std::move(log))
    , m_poll(poll)
    , m_handlers(std::move(handlers))
{
}

LogTail::~LogTail()
{
    stop();
}

void LogTail::start()
{
    m_thread = std::thread([this] { work(); });
}

void LogTail::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void LogTail::pause(Millis span)
{
    const auto until = Process::steadyNow() + span;
    while (!m_stopping && Process::steadyNow() < until) {
        std::this_thread::sleep_for(Process::toChrono(pauseStep));
    }
}

void LogTail::work()
{
    while (!m_stopping) {
        if (!m_reading) {
            pause(idlePause);
        } else if (!readOnce()) {
            ++m_failures;
            pause(failurePause);
        }
    }
}

void LogTail::noteReachable(bool reachable)
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
    if (!m_snapshotLoaded && m_handlers.position() == Config::noOffset && !loadSnapshot()) {
        return false;
    }
    const auto from = m_handlers.position() + 1;
    ++m_reads;
    auto page = m_log.read(Net::noteStream, from, recordsPerRead, m_poll);
    noteReachable(std::holds_alternative<Net::LogPage>(page));
    if (std::holds_alternative<Net::LogError>(page)) {
        return false;
    }
    auto &records = std::get<Net::LogPage>(page);
    if (records.first > from) {
        // Records this member never saw are gone from the log: only a snapshot beyond them will do.
        const bool helped = loadSnapshot() && m_handlers.position() + 1 >= records.first;
        if (m_behindRetention.exchange(!helped) != !helped && !helped) {
            Process::logError("behind-retention", {{"position", Text::concat(from - 1)}, {"oldest", Text::concat(records.first)}});
        }
        return helped;
    }
    if (!records.records.empty()) {
        m_handlers.apply(std::move(records.records));
    }
    return true;
}

bool LogTail::loadSnapshot()
{
    const auto page = m_log.readLast(Net::snapshotStream, snapshotsToTry);
    noteReachable(std::holds_alternative<Net::LogPage>(page));
    if (std::holds_alternative<Net::LogError>(page)) {
        return false;
    }
    m_snapshotLoaded = true;
    const auto &records = std::get<Net::LogPage>(page).records;
    for (auto it = records.rbegin(); it != records.rend(); ++it) {
        if (m_handlers.takeSnapshot(it->data)) {
            return true;
        }
    }
    return true;
}

}
