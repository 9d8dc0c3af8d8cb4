#ifndef LABURNUMMAST_STANDIN_SERVE_H
#define LABURNUMMAST_STANDIN_SERVE_H

#include "net/httpserver.h"

namespace Laburnummast::Standin
{

/// Serves the address of the listen flag until a signal; the exit code.
int serve(const Net::HttpServer::Handler &handler);

/// Sends a short JSON text.
void sendText(Net::ServerRequest &request, int status, std::string body);

}

#endif
