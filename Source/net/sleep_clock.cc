#include "net/sleep_clock.h"

#include <ctime>

namespace corianderplank {

time_point ClockWithSleep() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace corianderplank
