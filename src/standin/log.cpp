// Runs the stand-in for the platform's log service as a process.

#include "standin/logservice.h"
#include "standin/serve.h"
#include "standin/standin.h"

#include <absl/flags/flag.h>

ABSL_FLAG(int, retention, 100000, "maximum number of records kept in each stream");

namespace Laburnummast::Standin
{

int runLog()
{
    LogService service(static_cast<std::size_t>(absl::GetFlag(FLAGS_retention)));
    return serve([&](Net::ServerRequest &request) { service.handle(request); });
}

}
