#include "base/log.h"

#include "base/clock.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static enum log_level log_threshold = LOG_LEVEL_INFO;
static char log_name[64] = "currantscale";
static const char *const log_level_names[] = {"debug", "info", "warn", "error"};

void log_set_level(enum log_level level)
{
	log_threshold = level;
}

void log_set_name(const char *name)
{
	strncpy(log_name, name, sizeof(log_name) - 1);
}

bool log_parse_level(const char *name, enum log_level *level)
{
	for (int i = LOG_LEVEL_DEBUG; i <= LOG_LEVEL_ERROR; i++) {
		if (strcmp(name, log_level_names[i]) == 0) {
			*level = (enum log_level)i;
			return true;
		}
	}
	return false;
}

#define QUEUE_BYTES_MAX (256 * 1024) /* about 1,000 lines: a few seconds of a node under load */
#define QUEUE_FLUSH_MS 250	     /* limits both the number of wake-ups and the delay of lines */

/* Lines waiting to be written to standard output; lock protects all fields. */
static struct {
	pthread_mutex_t lock;
	pthread_cond_t stopped;
	pthread_t thread;
	bool running;
	bool stopping;
	GString *lines;
	uint32_t per_s;
	uint32_t lines_this_second;
	int64_t second;
	uint64_t dropped;
} log_queue = {.lock = PTHREAD_MUTEX_INITIALIZER, .stopped = PTHREAD_COND_INITIALIZER};

static void append_dropped_count(void)
{
	if (log_queue.dropped == 0)
		return;
	g_string_append_printf(log_queue.lines,
			       "{\"t_ms\":%" G_GINT64_FORMAT
			       ",\"level\":\"warn\",\"name\":\"%s\",\"event\":\"log_dropped\","
			       "\"lines\":%" G_GUINT64_FORMAT "}\n",
			       clock_wall_ms(), log_name, log_queue.dropped);
	log_queue.dropped = 0;
}

static void write_all(const char *bytes, size_t len)
{
	while (len > 0) {
		ssize_t n = write(STDOUT_FILENO, bytes, len);
		if (n <= 0)
			return; /* the log can't be written, so the failure can't be reported */
		bytes += n;
		len -= (size_t)n;
	}
}

static void *run_writer(void *arg)
{
	bool keep_running = true;

	while (keep_running) {
		struct timespec until;
		GString *lines;
		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_nsec += QUEUE_FLUSH_MS * CLOCK_NS_PER_MS;
		until.tv_sec += until.tv_nsec / 1000000000L;
		until.tv_nsec %= 1000000000L;
		pthread_mutex_lock(&log_queue.lock);
		if (!log_queue.stopping)
			pthread_cond_timedwait(&log_queue.stopped, &log_queue.lock, &until);
		append_dropped_count();
		lines = log_queue.lines;
		log_queue.lines = g_string_new(NULL);
		keep_running = !log_queue.stopping;
		pthread_mutex_unlock(&log_queue.lock);
		write_all(lines->str, lines->len);
		g_string_free(lines, TRUE);
	}
	return NULL;
}

void log_start_queue(uint32_t per_s)
{
	log_queue.lines = g_string_new(NULL);
	log_queue.per_s = per_s;
	log_queue.running = pthread_create(&log_queue.thread, NULL, run_writer, NULL) == 0;
}

void log_stop_queue(void)
{
	if (!log_queue.running)
		return;
	pthread_mutex_lock(&log_queue.lock);
	log_queue.stopping = true;
	pthread_cond_signal(&log_queue.stopped);
	pthread_mutex_unlock(&log_queue.lock);
	pthread_join(log_queue.thread, NULL);
	log_queue.running = false;
}

static void enqueue(const char *text, size_t len)
{
	int64_t second = clock_now_ms() / CLOCK_MS_PER_S;

	pthread_mutex_lock(&log_queue.lock);
	if (second != log_queue.second) {
		log_queue.second = second;
		log_queue.lines_this_second = 0;
	}
	if (log_queue.lines_this_second++ >= log_queue.per_s ||
	    log_queue.lines->len + len > QUEUE_BYTES_MAX)
		log_queue.dropped++;
	else
		g_string_append_len(log_queue.lines, text, (gssize)len);
	pthread_mutex_unlock(&log_queue.lock);
}

static void write_line(json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);
	size_t len;

	if (!text)
		return;
	len = strlen(text);
	text[len] = '\n'; /* replaces the NUL terminator, which write() doesn't need */
	if (log_queue.running)
		enqueue(text, len + 1);
	else if (write(STDERR_FILENO, text, len + 1) < 0) {
		/* The log can't be written, so the failure can't be reported. */
	}
	free(text);
}

void log_event(enum log_level level, const char *event, const char *format, ...)
{
	va_list args;
	json_t *line;

	if (level < log_threshold)
		return;
	line = json_pack("{s:I, s:s, s:s, s:s}", "t_ms", (json_int_t)clock_wall_ms(), "level",
			 log_level_names[level], "name", log_name, "event", event);
	if (format) {
		va_start(args, format);
		json_t *fields = json_vpack_ex(NULL, 0, format, args);
		va_end(args);
		if (fields)
			json_object_update(line, fields);
		json_decref(fields);
	}
	write_line(line);
	json_decref(line);
}
