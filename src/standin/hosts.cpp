// The platform's host list: what was last posted, shown only after its lag.

#include "process/wallclock.h"
#include "standin/serve.h"
#include "standin/standin.h"

#include <absl/flags/flag.h>
#include <deque>
#include <mutex>
#include <string>

ABSL_FLAG(int, lag_ms, 1000, "time before a change shows");

namespace Laburnummast::Standin
{
namespace
{

struct Posted
{
    Millis at;
    std::string text;
};

class HostList
{
public:
    void handle(Net::ServerRequest &request)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = Process::steadyNow();
        if (request.method() == "POST") {
            constexpr std::size_t maxList = 1 << 20;
            auto body = Net::readBody(request, maxList);
            if (auto *text = std::get_if<std::string>(&body)) {
                m_posted.push_back({.at = now, .text = std::move(*text)});
            }
            sendText(request, 200, "{}\n");
            return;
        }
        const Millis lag{static_cast<double>(absl::GetFlag(FLAGS_lag_ms))};
        while (m_posted.size() > 1 && now - m_posted[1].at >= lag) {
            m_posted.pop_front();
        }
        const bool shown = !m_posted.empty() && now - m_posted.front().at >= lag;
        sendText(request, 200, shown ? m_posted.front().text : std::string("{\"hosts\":[]}\n"));
    }

private:
    std::mutex m_mutex;
    std::deque<Posted> m_posted;
};

}

int runHosts()
{
    HostList list;
    return serve([&](Net::ServerRequest &request) { list.handle(request); });
}

}
