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

/// Answer kept for repeats of a call.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    /// The body was too large to keep; only the fact that the call ran is known.
    bool bodyDropped = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(status, contentType, body, bodyDropped);
    }
};

/// The key was not seen: run the call.
struct Execute
{
};

/// The same call is running here: wait for its answer.
struct InFlight
{
};

/// The call ran; this was its answer.
struct Answered
{
    std::shared_ptr<const StoredAnswer> answer;
};

/// Another member has taken over the key.
struct ClaimedBy
{
    std::string member;
};

/// Nobody can say whether the call ran.
struct OutcomeUnknown
{
};

using KeyVerdict = std::variant<Execute, InFlight, Answered, ClaimedBy, OutcomeUnknown>;

/// One finished key as handed over by a leaving member.
struct TransferredKey
{
    std::string key;
    Millis age;
    bool answered = false;
    std::string claimedBy;
    StoredAnswer answer;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(key, age, answered, claimedBy, answer);
    }
};

struct KeyTableOptions
{
    /// How long after its first attempt a call may be repeated.
    Millis repeatWindow = 600_s;
    std::size_t maxKeys = 100000;
    std::size_t maxAnswerBytes = 64 << 10;
    std::size_t maxTotalBytes = 8 << 20;
};

/// What one member knows of idempotency keys.
///
/// A key that was forgotten for lack of room, or lost with an earlier process, is never taken for unseen.
class KeyTable
{
public:
    KeyTable(const KeyTableOptions &options, std::string self, Millis startedAt);

    /// A first attempt arrives here; on RunIt the key is in flight until `finish`.
    KeyVerdict begin(std::string_view key, Millis now);
    /// `claimant` wants to run a repeat whose first attempt was `age` ago; on RunIt a late first attempt is refused from now on.
    KeyVerdict claim(std::string_view key, std::string_view claimant, Millis age, Millis now);
    /// As `claim`, for a key whose first attempt went to `gone`, a member that left and handed its table over.
    KeyVerdict claimTransferred(std::string_view key, std::string_view departed, std::string_view claimant, Millis now);
    /// What is known of the key, changing nothing.
    KeyVerdict peek(std::string_view key) const;

    void finishAnswered(std::string_view key, StoredAnswer answer, Millis now);
    /// The call truly did not run; the key may be used again.
    void finishNotRun(std::string_view key);
    void finishUnknown(std::string_view key, Millis now);

    std::vector<TransferredKey> exportKeys(Millis now) const;
    void importKeys(std::string_view from, const std::vector<TransferredKey> &keys, Millis now);

    void expire(Millis now);
    std::size_t size() const
    {
        return m_entries.size();
    }
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

    struct AgeEntry
    {
        Millis since;
        std::string key;
    };

    KeyVerdict verdictOf(const Entry &entry, std::string_view requester) const;
    Entry &put(std::string_view key, State state, Millis now);
    void erase(std::string_view key);
    AgeEntry popOldest();
    void evictOldest();

    KeyTableOptions m_options;
    std::string m_self;
    /// Every key first seen here since then is in the table.
    Millis m_completeSince;
    std::unordered_map<std::string, Entry> m_entries;
    std::deque<AgeEntry> m_ageQueue;
    std::set<std::string, std::less<>> m_importedFrom;
    std::size_t m_bytes = 0;
};

}

#endif
