#include "core/routes/configfinding.h"

#include "core/keyedhash.h"

namespace Laburnummast::Routes
{
namespace
{

constexpr std::size_t digestLength = 8;

struct Description
{
    Severity severity;
    std::string_view name;
    std::string_view explanation;
};

Description descriptionOf(ConfigProblem problem)
{
    using enum ConfigProblem;
    switch (problem) {
    case VersionNotHigher:
        return {Severity::Error, "version-not-higher", "the version is not above that in force, so every daemon ignores it"};
    case PrefixWithoutSlashes:
        return {Severity::Error, "prefix-without-slashes", "never matches: a prefix must begin and end with a slash"};
    case PrefixNeverSent:
        return {Severity::Error, "prefix-never-sent", "never matches: no path contains white space, '?' or '#'"};
    case HostNeverSent:
        return {Severity::Error, "host-never-sent", "never matches: a host is compared without its port and is not empty"};
    case RouteShadowed:
        return {Severity::Error, "route-shadowed", "never matches: this route has the same host and prefix and takes its calls"};
    case NoPositiveWeight:
        return {Severity::Error, "no-positive-weight", "all weights are 0, so the first service gets every call"};
    case ServiceRepeated:
        return {Severity::Warning, "service-repeated", "this service is listed more than once; its weights are added"};
    case ServiceUndefined:
        return {Severity::Error, "service-undefined", "there is no service of this name"};
    case ObjectiveAboveTimeout:
        return {Severity::Error, "objective-above-timeout", "the target latency is above the timeout of the route"};
    case TimeoutZero:
        return {Severity::Error, "timeout-zero", "no request can be completed within 0 ms"};
    case PublicWithoutWorkspaces:
        return {Severity::Warning, "public-without-workspaces", "has no effect: without workspaces no call needs a credential"};
    case ServiceUnused:
        return {Severity::Warning, "service-unused", "no route sends calls to this service"};
    case HealthPathNeverAnswered:
        return {Severity::Error, "health-path-invalid", "a path begins with a slash and contains no white space"};
    case ColdLimitWithoutWarmUp:
        return {Severity::Warning, "cold-limit-without-warmup", "upstreams without a warm-up time are not cold after their start"};
    case NoWorkspace:
        return {Severity::Warning, "no-workspace", "there is no workspace, so calls on routes that are not public are all rejected"};
    case NoKeys:
        return {Severity::Warning, "no-keys", "a workspace without keys gets no calls"};
    case KeyRepeated:
        return {Severity::Warning, "key-repeated", "the workspace lists this key more than once"};
    case KeyShared:
        return {Severity::Error, "key-shared", "more than one workspace holds this key, so calls with it are rejected"};
    case KeyNeverSent:
        return {Severity::Error,
                "key-never-sent",
                "no call can carry this key: it is empty, has characters that a header value cannot have, or is longer than a head may be"};
    case BurstWithoutRate:
        return {Severity::Warning, "burst-without-rate", "has no effect: without a rate calls are not limited"};
    case RateNeverServed:
        return {Severity::Error, "rate-never-served", "the rate and burst allow less than one call in a window"};
    case LimitZero:
        return {Severity::Error, "limit-zero", "a limit of 0 rejects every request"};
    }
    return {Severity::Error, "unknown", ""};
}

}

Severity severityOf(ConfigProblem problem)
{
    return descriptionOf(problem).severity;
}

std::string_view nameOf(ConfigProblem problem)
{
    return descriptionOf(problem).name;
}

std::string_view explanationOf(ConfigProblem problem)
{
    return descriptionOf(problem).explanation;
}

std::string keyDigest(std::string_view key)
{
    return sha256Hex(key).substr(0, digestLength);
}

}
