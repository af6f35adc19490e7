#ifndef ALMONDGATE_CORE_INVARIANT_HPP
#define ALMONDGATE_CORE_INVARIANT_HPP

namespace almondgate::core {

/// Stops the process with a message when `holds` is false. Only for what can't
/// happen in a correct program; everything else is a Result.
void invariant(bool holds, const char *text);

} // namespace almondgate::core

#endif
