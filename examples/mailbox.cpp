// Two tasks that talk by messages: one counts, on a thread of its own.

#include "almondgate/task/mailbox.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/thread.hpp"

#include <cstdio>

using namespace almondgate;

int main() {
  task::Loop main_loop;
  task::Mailbox<int> results(main_loop, 10, [&](int sum) {
    std::printf("sum %d\n", sum);
    main_loop.stop();
  });
  task::Thread counter;
  task::Mailbox<int> numbers(counter.loop(), 10, [&, sum = 0](int n) mutable {
    sum += n;
    if (n == 3 && !results.post(sum))
      std::puts("full");
  });
  counter.start();
  for (const int n : {1, 2, 3})
    if (!numbers.post(n))
      std::puts("full");
  main_loop.run();
  counter.stop();
}
