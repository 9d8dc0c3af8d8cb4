#ifndef LABURNUMMAST_STANDIN_SERVE_H
#define LABURNUMMAST_STANDIN_SERVE_H

#include "net/httpserver.h"

namespace Laburnummast::Standin
{

/// Serves HTTP on the address given by --listen until a termination signal arrives.
///
/// Returns the exit code: 0 after a signal, 2 if the address is malformed, 3 if it cannot be listened on.
int serve(const Net::HttpServer::Handler &handler);

/// Sends a complete response; its content type is application/json, also if the body is plain text.
void sendText(Net::ServerRequest &request, int status, std::string body);

}

#endif
