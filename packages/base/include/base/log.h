/*
 * Structured log: a JSON object per line with wall time, level and event, written to standard error
 * unless log_start_queue() was called.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum log_level { LOG_LEVEL_DEBUG, LOG_LEVEL_INFO, LOG_LEVEL_WARN, LOG_LEVEL_ERROR };

/* Sets the lowest level that is written, LOG_LEVEL_INFO by default. Call before threads start. */
void log_set_level(enum log_level level);

/* Sets the process name written in every line; copies the string. Call before threads start. */
void log_set_name(const char *name);

/* Sets *level to the level called name; returns false when there is none. */
bool log_parse_level(const char *name, enum log_level *level);

/*
 * Writes one line. format is a jansson pack format of an object with further fields, such as
 * "{s:s, s:I}", or NULL for none. Thread-safe: without a queue, each line
 * is written with one write().
 */
void log_event(enum log_level level, const char *event, const char *format, ...);

/*
 * From now on sends lines to standard output through a bounded queue and a writer thread, so that
 * no caller blocks on a slow reader of the log. Lines that don't fit in the queue or exceed per_s
 * lines per second are dropped, and the number of dropped lines is logged.
 */
void log_start_queue(uint32_t per_s);

/* Writes the queued lines and stops the writer thread. */
void log_stop_queue(void);

#define log_debug(...) log_event(LOG_LEVEL_DEBUG, __VA_ARGS__)
#define log_info(...) log_event(LOG_LEVEL_INFO, __VA_ARGS__)
#define log_warn(...) log_event(LOG_LEVEL_WARN, __VA_ARGS__)
#define log_error(...) log_event(LOG_LEVEL_ERROR, __VA_ARGS__)

#ifdef __cplusplus
}
#endif

#endif
