#ifndef ALMONDGATE_APPS_PROCESS_LIMITS_HPP
#define ALMONDGATE_APPS_PROCESS_LIMITS_HPP

namespace almondgate::apps {

/// Opens each of the descriptors 0, 1 and 2 that is closed, so that no file or
/// socket of the process gets its number and receives the log.
void openStandardDescriptors();

/// Raises the soft limit of descriptors to the hard limit.
void raiseDescriptorLimit();

/// Bounds the stacks of new threads. Their default size is the stack limit of
/// the process, which may exceed its address space.
void limitThreadStacks();

/// Makes the threads share one arena of the allocator, so that each of them can
/// use what another one freed, and makes it return large blocks to the system.
/// Call before other threads are started.
void limitAllocator();

} // namespace almondgate::apps

#endif
