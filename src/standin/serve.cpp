#include "standin/serve.h"

#include "core/config/address.h"
#include "process/signals.h"
#include "standin/flags.h"

#include <absl/flags/flag.h>
#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on, IP:PORT");
ABSL_FLAG(int, threads, 64, "maximum number of open connections");

namespace Laburnummast::Standin
{

int serve(const Net::HttpServer::Handler &handler)
{
    const auto address = Config::parseAddress(absl::GetFlag(FLAGS_listen));
    if (!address) {
        std::cerr << "--listen: expected IP:PORT\n";
        return 2;
    }
    Net::HttpServer server;
    constexpr Millis connectionTimeout = 60_s;
    const Net::HttpServerOptions options{.address = *address,
                                         .threads = absl::GetFlag(FLAGS_threads),
                                         .requestTimeout = connectionTimeout,
                                         .keepAliveTimeout = connectionTimeout};
    if (server.start(options, handler)) {
        std::cerr << "cannot listen on " << absl::GetFlag(FLAGS_listen) << "\n";
        return 3;
    }
    while (!Process::waitForSignal(1_s)) { }
    server.stop();
    return 0;
}

void sendText(Net::ServerRequest &request, int status, std::string body)
{
    Net::sendResponse(request, {.status = status, .headers = {}, .body = std::move(body)});
}

}
