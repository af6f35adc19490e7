#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

// The cases that KNOWN-RED.txt names are passed in by tools/test.sh.
int main(int argc, char **argv) {
  doctest::Context context;
  const char *skip = std::getenv("DOCTEST_SKIP");
  if (skip && *skip)
    context.addFilter("test-case-exclude", skip);
  context.applyCommandLine(argc, argv);
  return context.run();
}
