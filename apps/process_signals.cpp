#include "process_signals.hpp"

#include "almondgate/observe/log.hpp"

#include <csignal>

namespace almondgate::apps {

namespace {

sigset_t watchedSignals() {
  sigset_t out;
  sigemptyset(&out);
  for (const int number : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&out, number);
  return out;
}

// Runs before any initializer of a library. With SIGXFSZ ignored, a write
// beyond the file size limit fails with an error, like a write to a full disk.
void holdSignals(int /*argc*/, char ** /*argv*/, char ** /*environment*/) {
  const sigset_t watched = watchedSignals();
  ::sigprocmask(SIG_BLOCK, &watched, nullptr);
  for (const int number :
       {SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM})
    std::signal(number, SIG_IGN);
}

[[gnu::used, gnu::section(".preinit_array")]] void (*const HoldSignals)(
    int, char **, char **) = holdSignals;

} // namespace

ProcessSignals::ProcessSignals(task::Loop &loop,
                               const std::function<void()> &stop)
    : Terminate(loop, SIGTERM, stop), Interrupt(loop, SIGINT, stop),
      Reload(loop, SIGHUP, [] {
        observe::logInfo("reload",
                         "SIGHUP ignored: settings are read only at start");
      }) {
  const sigset_t watched = watchedSignals();
  ::pthread_sigmask(SIG_UNBLOCK, &watched, nullptr);
}

ProcessSignals::~ProcessSignals() {
  const sigset_t watched = watchedSignals();
  ::pthread_sigmask(SIG_BLOCK, &watched, nullptr);
}

bool isStopPending() {
  sigset_t pending;
  return ::sigpending(&pending) == 0 && (sigismember(&pending, SIGTERM) == 1 ||
                                         sigismember(&pending, SIGINT) == 1);
}

} // namespace almondgate::apps
