#include "process/signals.h"

#include <csignal>
#include <ctime>

namespace Laburnummast::Process
{
namespace
{

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

}

void blockSignals()
{
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);
}

std::optional<int> waitForSignal(Millis timeout)
{
    constexpr double nanosPerMillis = 1e6;
    const auto seconds = static_cast<time_t>(timeout / 1_s);
    const timespec limit{.tv_sec = seconds,
                         .tv_nsec = static_cast<long>((timeout.count - static_cast<double>(seconds) * 1000) * nanosPerMillis)};
    const auto signals = handledSignals();
    const int number = sigtimedwait(&signals, nullptr, &limit);
    return number > 0 ? std::optional(number) : std::nullopt;
}

}
