#include "entry/calladmission.h"

#include "core/text.h"
#include "platform/requests.h"

namespace Laburnummast::Entry
{
namespace
{

using Workspaces::CredentialError;

constexpr Millis notReadyRetryAfter = 200_ms;
// Without contact, proofs come back in a second at the earliest; other daemons may have them.
constexpr Millis staleRetryAfter = 500_ms;

RejectedCall notReady(const IncomingCall &call, std::string_view reason)
{
    return {.end = CallEnd::NotReady, .reason = reason, .response = Platform::notRunResponse(call.id, notReadyRetryAfter)};
}

std::variant<AdmittedCall, RejectedCall>
authenticate(IncomingCall &call, const Routes::Route &route, const NodeView &view, const FreshnessGate &gate)
{
    auto credential = Platform::takeCredential(call);
    if (route.isPublic) {
        return AdmittedCall{.route = &route};
    }
    if (!gate.isFresh()) {
        return staleCredentials(call, gate);
    }
    auto error = CredentialError::Unknown;
    if (const auto *decodeError = std::get_if<CredentialError>(&credential)) {
        error = *decodeError;
    } else if (const auto *workspace = view.routes->workspaces()->findByKey(std::get<std::string>(credential))) {
        call.workspace = workspace->name;
        return AdmittedCall{.route = &route, .workspace = workspace, .permit = gate.permit()};
    }
    // A newer version may hold the key, make the route public or need no credential.
    if (!view.routesCurrent) {
        return notReady(call, "credentials-outdated");
    }
    return RejectedCall{.end = CallEnd::Unauthorized,
                        .reason = Workspaces::nameOf(error),
                        .response = Platform::unauthorizedResponse(call.id),
                        .credentialError = error};
}

}

RejectedCall staleCredentials(const IncomingCall &call, const FreshnessGate &gate)
{
    const auto age = gate.age();
    return {.end = CallEnd::NotReady,
            .reason = "stale-credentials",
            .response = Platform::notRunResponse(call.id, staleRetryAfter),
            .details = age ? Text::concat("age-ms=", static_cast<std::int64_t>(age->count)) : std::string("age-ms=none")};
}

std::variant<AdmittedCall, RejectedCall> admitCall(IncomingCall &call, const NodeView &view, const FreshnessGate &gate)
{
    if (!view.routes || !view.upstreamsKnown) {
        return notReady(call, view.routes ? "no-upstream-list" : "no-routes");
    }
    const auto *route = view.routes->match(call.host, Http::pathOf(call.target));
    if (!route && !view.routesCurrent) {
        return notReady(call, "routes-outdated");
    }
    if (!route) {
        return RejectedCall{.end = CallEnd::NoRoute, .reason = "no-route", .response = Platform::localResponse(call.id, 404)};
    }
    if (view.routes->workspaces()) {
        return authenticate(call, *route, view, gate);
    }
    return AdmittedCall{.route = route};
}

}
