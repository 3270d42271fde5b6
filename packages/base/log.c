#include "base/log.h"

#include "base/clock.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static enum log_level log_least = LOG_LEVEL_INFO;
static char log_name[64] = "currantscale";
static const char *const log_names[] = {"debug", "info", "warn", "error"};

void log_set_level(enum log_level level)
{
	log_least = level;
}

void log_set_name(const char *name)
{
	strncpy(log_name, name, sizeof(log_name) - 1);
}

bool log_parse_level(const char *name, enum log_level *level)
{
	for (int i = LOG_LEVEL_DEBUG; i <= LOG_LEVEL_ERROR; i++) {
		if (strcmp(name, log_names[i]) == 0) {
			*level = (enum log_level)i;
			return true;
		}
	}
	return false;
}

#define QUEUE_BYTES_MAX (256 * 1024) /* some 1,000 lines: seconds of a node under load */
#define QUEUE_WAKE_MS 250	     /* between two writes: few wake-ups, lines still fresh */

/* Lines on their way to standard output. lock guards all of it. */
static struct {
	pthread_mutex_t lock;
	pthread_cond_t stopped;
	pthread_t thread;
	bool running;
	bool stopping;
	GString *lines;
	uint32_t per_s;
	uint32_t in_second;
	int64_t second;
	uint64_t dropped;
} queue = {.lock = PTHREAD_MUTEX_INITIALIZER, .stopped = PTHREAD_COND_INITIALIZER};

static void note_dropped(void)
{
	if (queue.dropped == 0)
		return;
	g_string_append_printf(queue.lines,
			       "{\"t_ms\":%" G_GINT64_FORMAT
			       ",\"level\":\"warn\",\"name\":\"%s\",\"event\":\"log_dropped\","
			       "\"lines\":%" G_GUINT64_FORMAT "}\n",
			       clock_wall_ms(), log_name, queue.dropped);
	queue.dropped = 0;
}

static void write_all(const char *bytes, size_t len)
{
	while (len > 0) {
		ssize_t n = write(STDOUT_FILENO, bytes, len);
		if (n <= 0)
			return; /* nobody reads: there is nowhere to report it */
		bytes += n;
		len -= (size_t)n;
	}
}

static void *write_queue(void *arg)
{
	bool go_on = true;

	while (go_on) {
		struct timespec until;
		GString *lines;
		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_nsec += QUEUE_WAKE_MS * CLOCK_NS_PER_MS;
		until.tv_sec += until.tv_nsec / 1000000000L;
		until.tv_nsec %= 1000000000L;
		pthread_mutex_lock(&queue.lock);
		if (!queue.stopping)
			pthread_cond_timedwait(&queue.stopped, &queue.lock, &until);
		note_dropped();
		lines = queue.lines;
		queue.lines = g_string_new(NULL);
		go_on = !queue.stopping;
		pthread_mutex_unlock(&queue.lock);
		write_all(lines->str, lines->len);
		g_string_free(lines, TRUE);
	}
	return NULL;
}

void log_start_queue(uint32_t per_s)
{
	queue.lines = g_string_new(NULL);
	queue.per_s = per_s;
	queue.running = pthread_create(&queue.thread, NULL, write_queue, NULL) == 0;
}

void log_stop_queue(void)
{
	if (!queue.running)
		return;
	pthread_mutex_lock(&queue.lock);
	queue.stopping = true;
	pthread_cond_signal(&queue.stopped);
	pthread_mutex_unlock(&queue.lock);
	pthread_join(queue.thread, NULL);
	queue.running = false;
}

static void enqueue(const char *text, size_t len)
{
	int64_t second = clock_now_ms() / CLOCK_MS_PER_S;

	pthread_mutex_lock(&queue.lock);
	if (second != queue.second) {
		queue.second = second;
		queue.in_second = 0;
	}
	if (queue.in_second++ >= queue.per_s || queue.lines->len + len > QUEUE_BYTES_MAX)
		queue.dropped++;
	else
		g_string_append_len(queue.lines, text, (gssize)len);
	pthread_mutex_unlock(&queue.lock);
}

static void write_line(json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);
	size_t len;

	if (!text)
		return;
	len = strlen(text);
	text[len] = '\n'; /* the terminator's place; the length goes to write */
	if (queue.running)
		enqueue(text, len + 1);
	else if (write(STDERR_FILENO, text, len + 1) < 0) {
		/* a log that can't be written has nowhere to be reported */
	}
	free(text);
}

void log_event(enum log_level level, const char *event, const char *format, ...)
{
	va_list args;
	json_t *line;

	if (level < log_least)
		return;
	line = json_pack("{s:I, s:s, s:s, s:s}", "t_ms", (json_int_t)clock_wall_ms(), "level",
			 log_names[level], "name", log_name, "event", event);
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
