// Runs a stand-in upstream as a process.

#include "standin/serve.h"
#include "standin/standin.h"
#include "standin/upstreamserver.h"

#include <absl/flags/flag.h>

ABSL_FLAG(int, slots, 3, "number of calls processed at once");
ABSL_FLAG(double, median_ms, 10, "median service time of a call in milliseconds");
ABSL_FLAG(double, sigma, 0.5, "sigma of the log-normal distribution of service times");
ABSL_FLAG(int, queue_limit, 60, "number of calls that may wait for a slot; further calls are shed");
ABSL_FLAG(int, answer_bytes, 200, "minimum length of a response body in bytes");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random service times");

namespace Laburnummast::Standin
{

int runUpstream()
{
    UpstreamServer server({.slots = absl::GetFlag(FLAGS_slots),
                           .medianServiceTime = Millis{absl::GetFlag(FLAGS_median_ms)},
                           .sigma = absl::GetFlag(FLAGS_sigma),
                           .queueLimit = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_queue_limit)),
                           .minResponseBytes = static_cast<std::size_t>(absl::GetFlag(FLAGS_answer_bytes)),
                           .seed = absl::GetFlag(FLAGS_seed)});
    return serve([&](Net::ServerRequest &request) { server.handle(request); });
}

}
