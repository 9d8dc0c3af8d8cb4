#ifndef LABURNUMMAST_CORE_IDEMPOTENCY_KEYTABLE_H
#define LABURNUMMAST_CORE_IDEMPOTENCY_KEYTABLE_H

#include "core/millis.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Laburnummast::Idempotency
{

/// Answer of a call, kept to be replayed to repeats of the call.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    /// The body was not kept, for example because it was too large; status and content type are still known.
    bool bodyDropped = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(status, contentType, body, bodyDropped);
    }
};

/// The call may run: the key is new, or is claimed by the requester.
struct Execute
{
};

/// A call with this key is running on this member; its answer can be awaited.
struct InFlight
{
};

/// The call ran and got this answer.
struct Answered
{
    std::shared_ptr<const StoredAnswer> answer;
};

/// Another member has claimed the key to run the call.
struct ClaimedBy
{
    std::string member;
};

/// It cannot be determined whether the call ran.
struct OutcomeUnknown
{
};

/// Result of looking up or claiming a key.
using KeyVerdict = std::variant<Execute, InFlight, Answered, ClaimedBy, OutcomeUnknown>;

/// One key, as transferred by a leaving member.
struct TransferredKey
{
    std::string key;
    /// Time since the key was recorded or last updated; `importKeys` does not use it.
    Millis age;
    /// Whether `answer` is set.
    bool answered = false;
    /// Empty if no member has claimed the key.
    std::string claimedBy;
    StoredAnswer answer;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(key, age, answered, claimedBy, answer);
    }
};

/// Limits of a KeyTable.
struct KeyTableOptions
{
    /// How long after its first attempt a call may be repeated; finished keys are kept this long.
    Millis repeatWindow = 600_s;
    /// Most keys in the table. Keys in flight are never evicted, so this bound and that on the memory may be exceeded.
    std::size_t maxKeys = 100000;
    /// Larger bodies of answers are not kept.
    std::size_t maxAnswerBytes = 64 << 10;
    /// Bound on the estimated memory of all entries.
    std::size_t maxTotalBytes = 8 << 20;
};

/// Idempotency keys of the calls that one member has run or let others claim.
///
/// A claim of a key that may have been evicted, or lost with an earlier process, gets OutcomeUnknown instead of Execute.
class KeyTable
{
public:
    /// `self` is the name that this member claims keys under. Keys used before `startedAt` are not covered.
    KeyTable(const KeyTableOptions &options, std::string self, Millis startedAt);

    /// Registers an attempt that arrives here. On Execute the key is in flight until one of the finish functions is called.
    KeyVerdict begin(std::string_view key, Millis now);
    /// Claims the key for `claimant`, which wants to run a repeat whose first attempt was `age` ago.
    /// On Execute, a first attempt that arrives late is refused from then on.
    KeyVerdict claim(std::string_view key, std::string_view claimant, Millis age, Millis now);
    /// Like claim(), for a key whose first attempt went to `departed`, a member that left and transferred its keys.
    /// Returns OutcomeUnknown for an unknown key if those keys were not imported here.
    KeyVerdict claimTransferred(std::string_view key, std::string_view departed, std::string_view claimant, Millis now);
    /// Looks up the key without changing anything; Execute if it is unknown.
    KeyVerdict peek(std::string_view key) const;

    /// The call ran; keeps its answer for repeats.
    void finishAnswered(std::string_view key, StoredAnswer answer, Millis now);
    /// The call certainly did not run; the key may be used again.
    void finishNotRun(std::string_view key);
    /// The call may have run; repeats get OutcomeUnknown.
    void finishUnknown(std::string_view key, Millis now);

    /// All keys, for the members that take over from this one.
    std::vector<TransferredKey> exportKeys(Millis now) const;
    /// Adds the keys of `departed`, a leaving member; keys that are known already keep their entry.
    void importKeys(std::string_view departed, const std::vector<TransferredKey> &keys, Millis now);

    /// Removes keys that were recorded or last updated longer ago than the repeat window; keys in flight are kept.
    void expire(Millis now);
    std::size_t size() const
    {
        return m_entries.size();
    }
    /// Estimated memory of all entries.
    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    enum class State : std::uint8_t {
        InFlight,
        Answered,
        Claimed,
        Unknown,
    };

    struct Entry
    {
        State state = State::InFlight;
        Millis since;
        std::string claimant;
        std::shared_ptr<const StoredAnswer> answer;
    };

    /// Position of a key in the eviction queue; outdated if `since` differs from that of the entry.
    struct AgeEntry
    {
        Millis since;
        std::string key;
    };

    KeyVerdict verdictOf(const Entry &entry, std::string_view requester) const;
    Entry &put(std::string_view key, State state, Millis now);
    void erase(std::string_view key);
    AgeEntry popOldestAge();
    void evictOldest();

    KeyTableOptions m_options;
    std::string m_self;
    /// Every key that was first seen here after this time is in the table.
    Millis m_completeSince;
    std::unordered_map<std::string, Entry> m_entries;
    std::deque<AgeEntry> m_ageQueue;
    std::set<std::string, std::less<>> m_importedFrom;
    std::size_t m_bytes = 0;
};

}

#endif
