#ifndef ALMONDGATE_CORE_INVARIANT_HPP
#define ALMONDGATE_CORE_INVARIANT_HPP

#include <functional>

namespace almondgate::core {

/// Stops the process with a message when `holds` is false. Only for what can't
/// happen in a correct program; everything else is a Result.
void invariant(bool holds, const char *text);

/// Replaces what happens on a broken invariant, so that a test can see one.
void setInvariantHandler(std::function<void(const char *)> handler);

} // namespace almondgate::core

#endif
