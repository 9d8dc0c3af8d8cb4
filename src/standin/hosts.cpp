// Stand-in for the platform's host list: serves the list that was last posted, after a configurable delay.

#include "process/wallclock.h"
#include "standin/serve.h"
#include "standin/standin.h"

#include <absl/flags/flag.h>
#include <deque>
#include <mutex>
#include <string>

ABSL_FLAG(int, lag_ms, 1000, "delay in milliseconds before a posted list is served");

namespace Laburnummast::Standin
{
namespace
{

// A posted host list and the time at which it arrived.
struct HostListUpdate
{
    Millis receivedAt;
    std::string text;
};

// POST replaces the list; any other request returns the newest list that is older than the delay, or an empty list.
class HostList
{
public:
    void handle(Net::ServerRequest &request)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = Process::steadyNow();
        if (request.method() == "POST") {
            constexpr std::size_t maxListBytes = 1 << 20;
            auto body = Net::readBody(request, maxListBytes);
            if (auto *text = std::get_if<std::string>(&body)) {
                m_updates.push_back({.receivedAt = now, .text = std::move(*text)});
            }
            sendText(request, 200, "{}\n");
            return;
        }
        const Millis lag{static_cast<double>(absl::GetFlag(FLAGS_lag_ms))};
        // Drops every update that a later one has replaced by now.
        while (m_updates.size() > 1 && now - m_updates[1].receivedAt >= lag) {
            m_updates.pop_front();
        }
        const bool isVisible = !m_updates.empty() && now - m_updates.front().receivedAt >= lag;
        sendText(request, 200, isVisible ? m_updates.front().text : std::string("{\"hosts\":[]}\n"));
    }

private:
    std::mutex m_mutex;
    std::deque<HostListUpdate> m_updates;
};

}

int runHosts()
{
    HostList list;
    return serve([&](Net::ServerRequest &request) { list.handle(request); });
}

}
