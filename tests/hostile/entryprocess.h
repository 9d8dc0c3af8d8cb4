#ifndef LABURNUMMAST_TESTS_HOSTILE_ENTRYPROCESS_H
#define LABURNUMMAST_TESTS_HOSTILE_ENTRYPROCESS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <sys/types.h>

namespace Laburnummast::Tests
{

/// A process of laburnummast-entry that the test starts, observes through /proc and ends.
class EntryProcess
{
public:
    /// Writes `settings` to a file and starts the daemon with it.
    explicit EntryProcess(const std::string &settings);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    bool alive();
    /// Resident memory now, and the most that there has been; 0 if the process has ended.
    std::uint64_t residentBytes() const;
    std::uint64_t peakResidentBytes() const;
    /// Open descriptors.
    std::size_t descriptorCount() const;

private:
    std::uint64_t statusField(const std::string &name) const;

    std::string m_settingsPath;
    pid_t m_pid = -1;
};

}

#endif
