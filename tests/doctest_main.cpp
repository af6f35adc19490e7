#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

// tools/test.sh passes the test cases listed in KNOWN-RED.txt in DOCTEST_SKIP.
int main(int argc, char **argv) {
  doctest::Context context;
  const char *skip = std::getenv("DOCTEST_SKIP");
  if (skip && *skip)
    context.addFilter("test-case-exclude", skip);
  context.applyCommandLine(argc, argv);
  return context.run();
}
