/* Clocks. Decision code does not read them; it takes the current time as a parameter. */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CLOCK_MS_PER_S 1000
#define CLOCK_US_PER_MS 1000
#define CLOCK_NS_PER_MS 1000000
#define CLOCK_NS_PER_US 1000

/* Milliseconds since boot, including time during which the VM was suspended. */
int64_t clock_now_ms(void);

/* Microseconds since boot, including suspended time. */
int64_t clock_now_us(void);

/* Milliseconds since the Unix epoch; jumps when the wall clock is set. */
int64_t clock_wall_ms(void);

/* Sleeps for the whole time, even if signals arrive. */
void clock_sleep_ms(int64_t wait_ms);

#ifdef __cplusplus
}
#endif

#endif
