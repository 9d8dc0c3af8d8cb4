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
struct RunIt
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
struct CannotSay
{
};

using KeyVerdict = std::variant<RunIt, InFlight, Answered, ClaimedBy, CannotSay>;

/// One finished key as handed over by a leaving member.
struct HandedKey
{
    std::string key;
    Millis age;
    bool known = false;
    std::string claimedBy;
    StoredAnswer answer;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(key, age, known, claimedBy, answer);
    }
};

struct KeyTableOptions
{
    /// How long after its first attempt a call may be repeated.
    Millis window = 600_s;
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
    KeyVerdict claimHanded(std::string_view key, std::string_view gone, std::string_view claimant, Millis now);
    /// What is known of the key, changing nothing.
    KeyVerdict look(std::string_view key) const;

    void finishAnswered(std::string_view key, StoredAnswer answer, Millis now);
    /// The call truly did not run; the key may be used again.
    void finishNotRun(std::string_view key);
    void finishUnknown(std::string_view key, Millis now);

    std::vector<HandedKey> handOver(Millis now) const;
    void adopt(std::string_view from, const std::vector<HandedKey> &keys, Millis now);

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

    struct Age
    {
        Millis since;
        std::string key;
    };

    KeyVerdict verdictOf(const Entry &entry, std::string_view asker) const;
    Entry &put(std::string_view key, State state, Millis now);
    void erase(std::string_view key);
    Age takeOldest();
    void makeRoom();

    KeyTableOptions m_options;
    std::string m_self;
    /// Every key first seen here since then is in the table.
    Millis m_completeSince;
    std::unordered_map<std::string, Entry> m_entries;
    std::deque<Age> m_ages;
    std::set<std::string, std::less<>> m_adopted;
    std::size_t m_bytes = 0;
};

}

#endif
