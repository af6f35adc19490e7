#include "almondgate/observe/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace almondgate::observe {

namespace {

// Upper bounds of the buckets, in milliseconds.
const prometheus::Histogram::BucketBoundaries TimeBounds{
    0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000};

} // namespace

struct Metrics::State {
  prometheus::Registry Registry;
};

Metrics::Metrics() : S(new State) {}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const std::string &label,
                    const std::string &value) {
  auto &family = prometheus::BuildCounter()
                     .Name("almondgate_" + name + "_total")
                     .Register(S->Registry);
  family.Add({{label, value}}).Increment();
}

void Metrics::set(const std::string &name, double value) {
  auto &family =
      prometheus::BuildGauge().Name("almondgate_" + name).Register(S->Registry);
  family.Add({}).Set(value);
}

void Metrics::time(const std::string &name, double ms) {
  auto &family = prometheus::BuildHistogram()
                     .Name("almondgate_" + name + "_ms")
                     .Register(S->Registry);
  family.Add({}, TimeBounds).Observe(ms);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(S->Registry.Collect());
}

} // namespace almondgate::observe
