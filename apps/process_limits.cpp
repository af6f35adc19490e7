#include "process_limits.hpp"

#include <algorithm>
#include <cstddef>
#include <fcntl.h>
#include <malloc.h>
#include <pthread.h>
#include <sys/resource.h>
#include <unistd.h>

namespace almondgate::apps {

namespace {

// What calls deeply, such as the parsing of nested bodies, runs on the main
// thread.
constexpr size_t MaxThreadStackBytes = size_t{2} << 20;

// Snapshots and the files of a data folder are larger, what is allocated for a
// single request is smaller.
constexpr int LargeBlockBytes = 1 << 20;

} // namespace

void openStandardDescriptors() {
  for (const int fd : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
    if (::fcntl(fd, F_GETFD) < 0)
      // The lowest free number is assigned.
      (void)::open("/dev/null", O_RDWR);
}

void raiseDescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  // Otherwise the process serves with the soft limit.
  (void)::setrlimit(RLIMIT_NOFILE, &limit);
}

void limitThreadStacks() {
  pthread_attr_t attributes;
  if (::pthread_getattr_default_np(&attributes) != 0)
    return;
  size_t bytes = 0;
  ::pthread_attr_getstacksize(&attributes, &bytes);
  ::pthread_attr_setstacksize(&attributes,
                              std::min(bytes, MaxThreadStackBytes));
  ::pthread_setattr_default_np(&attributes);
  ::pthread_attr_destroy(&attributes);
}

// By default each thread has an arena, and the threshold for mappings rises to
// the largest block that was freed, so that later ones are kept. Few threads
// allocate at the same time here: the main one, the storage and the log.
void limitAllocator() {
  ::mallopt(M_ARENA_MAX, 1);
  ::mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, LargeBlockBytes);
}

} // namespace almondgate::apps
