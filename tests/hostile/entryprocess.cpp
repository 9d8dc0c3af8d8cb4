#include "hostile/entryprocess.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace Laburnummast::Tests
{

EntryProcess::EntryProcess(const std::string &settings)
    : m_settingsPath((std::filesystem::temp_directory_path() / ("hostile-tests-" + std::to_string(::getpid()) + ".conf")).string())
{
    std::ofstream(m_settingsPath) << settings;
    m_pid = ::fork();
    if (m_pid == 0) {
        // The test's own sockets must not stay open in the daemon: an upstream that closes would still look open.
        ::close_range(3, ~0U, 0);
        const int null = ::open("/dev/null", O_WRONLY);
        ::dup2(null, STDOUT_FILENO);
        ::dup2(null, STDERR_FILENO);
        ::setenv("LABURNUMMAST_NODE_FILE", m_settingsPath.c_str(), 1);
        ::execl(LABURNUMMAST_ENTRY_PATH, LABURNUMMAST_ENTRY_PATH, static_cast<char *>(nullptr));
        ::_exit(127);
    }
}

EntryProcess::~EntryProcess()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
    std::filesystem::remove(m_settingsPath);
}

bool EntryProcess::alive()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid > 0;
}

std::uint64_t EntryProcess::residentBytes() const
{
    return statusField("VmRSS:");
}

std::uint64_t EntryProcess::peakResidentBytes() const
{
    return statusField("VmHWM:");
}

std::size_t EntryProcess::descriptorCount() const
{
    std::error_code ec;
    std::size_t n = 0;
    for (std::filesystem::directory_iterator it("/proc/" + std::to_string(m_pid) + "/fd", ec), end; !ec && it != end; it.increment(ec)) {
        ++n;
    }
    return n;
}

std::uint64_t EntryProcess::statusField(const std::string &name) const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(name)) {
            std::uint64_t kibibytes = 0;
            std::istringstream(line.substr(name.size())) >> kibibytes;
            return kibibytes * 1024;
        }
    }
    return 0;
}

}
