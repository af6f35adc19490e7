#ifndef ALMONDGATE_OBSERVE_METRICS_HPP
#define ALMONDGATE_OBSERVE_METRICS_HPP

#include <memory>
#include <string>

namespace almondgate::observe {

/// A process's metrics in the Prometheus text format.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Adds one to the counter almondgate_<name>_total with one label.
  void count(const std::string &name, const std::string &label,
             const std::string &value);

  /// Sets the gauge almondgate_<name>.
  void set(const std::string &name, double value);

  /// Adds a time in milliseconds to the histogram almondgate_<name>_ms.
  void time(const std::string &name, double ms);

  std::string text() const;

private:
  struct State;
  std::unique_ptr<State> S;
};

} // namespace almondgate::observe

#endif
