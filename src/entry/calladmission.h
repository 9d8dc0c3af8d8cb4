#ifndef LABURNUMMAST_ENTRY_CALLADMISSION_H
#define LABURNUMMAST_ENTRY_CALLADMISSION_H

#include "core/workspaces/credential.h"
#include "entry/call.h"
#include "entry/callend.h"
#include "entry/nodeview.h"

#include <optional>
#include <string_view>
#include <variant>

namespace Laburnummast::Entry
{

/// A call that may be passed on, as far as its route and its credential decide.
struct AdmittedCall
{
    /// Valid as long as the routes of the view.
    const Routes::Route *route = nullptr;
    /// Workspace whose credential the call carries; null on public routes and if there are no workspaces.
    const Workspaces::Workspace *workspace = nullptr;
};

/// A call that is answered at once.
struct RejectedCall
{
    CallEnd end = CallEnd::NotReady;
    /// Reason for the log.
    std::string_view reason;
    Http::Response response;
    /// Set if the credential is the reason.
    std::optional<Workspaces::CredentialError> credentialError;
};

/// Finds the route and the workspace of a call.
///
/// Where the routes in force name workspaces, takes the credential out of `call` and sets `call.workspace`. A call is rejected for good
/// only if no newer version of the routes is expected; otherwise it is refused as not run, so that the caller may repeat it.
std::variant<AdmittedCall, RejectedCall> admitCall(IncomingCall &call, const NodeView &view);

}

#endif
