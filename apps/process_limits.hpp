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

} // namespace almondgate::apps

#endif
