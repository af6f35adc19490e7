// Two tasks exchange messages: one sums numbers on its own thread, the other
// receives the sum on the main thread.

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
  task::Thread summing_thread;
  task::Mailbox<int> numbers(summing_thread.loop(), 10,
                             [&, sum = 0](int n) mutable {
                               sum += n;
                               if (n == 3 && !results.post(sum))
                                 std::puts("the mailbox of results is full");
                             });
  summing_thread.start();
  for (const int n : {1, 2, 3})
    if (!numbers.post(n))
      std::puts("the mailbox of numbers is full");
  main_loop.run();
  summing_thread.stop();
}
