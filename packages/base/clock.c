#include "base/clock.h"

#include <time.h>

static int64_t read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * CLOCK_MS_PER_S * CLOCK_US_PER_MS + ts.tv_nsec / CLOCK_NS_PER_US;
}

int64_t clock_now_us(void)
{
	return read_us(CLOCK_BOOTTIME);
}

int64_t clock_now_ms(void)
{
	return read_us(CLOCK_BOOTTIME) / CLOCK_US_PER_MS;
}

int64_t clock_wall_ms(void)
{
	return read_us(CLOCK_REALTIME) / CLOCK_US_PER_MS;
}

void clock_sleep_ms(int64_t wait_ms)
{
	struct timespec ts = {
		.tv_sec = wait_ms / CLOCK_MS_PER_S,
		.tv_nsec = (wait_ms % CLOCK_MS_PER_S) * CLOCK_NS_PER_MS,
	};

	while (clock_nanosleep(CLOCK_MONOTONIC, 0, &ts, &ts) != 0)
		continue;
}
