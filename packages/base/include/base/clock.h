/* Clocks. Only the node, the emulator and the command line read them; decisions are handed `now`.
 */
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

/* Milliseconds since boot, time in which the VM was suspended included. */
int64_t clock_now_ms(void);

/* Microseconds since boot, suspended time included. */
int64_t clock_now_us(void);

/* Milliseconds since the epoch; steps when the wall clock is set. */
int64_t clock_wall_ms(void);

/* Sleeps without regard to signals. */
void clock_sleep_ms(int64_t wait_ms);

#ifdef __cplusplus
}
#endif

#endif
