/* Logs as JSON lines on standard error: one object a line with wall time, level and event name. */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum log_level { LOG_LEVEL_DEBUG, LOG_LEVEL_INFO, LOG_LEVEL_WARN, LOG_LEVEL_ERROR };

/* Sets what is written; default is LOG_LEVEL_INFO. Call before threads start. */
void log_set_level(enum log_level level);

/* Name of the process in every line; the string is copied. Call before threads start. */
void log_set_name(const char *name);

/* False when the name is no level. */
bool log_parse_level(const char *name, enum log_level *level);

/*
 * Writes one line. format is a jansson pack format of an object such as "{s:s, s:I}", or NULL
 * for no fields. Safe from any thread; the line is written by one write.
 */
void log_event(enum log_level level, const char *event, const char *format, ...);

/*
 * From now on lines go to standard output through a bounded queue and a thread that writes it:
 * no caller ever waits for a reader of the log. Lines beyond the queue or beyond per_s a second
 * are dropped, counted, and their count is logged.
 */
void log_start_queue(uint32_t per_s);

/* Writes what is queued and ends the thread. */
void log_stop_queue(void);

#define log_debug(...) log_event(LOG_LEVEL_DEBUG, __VA_ARGS__)
#define log_info(...) log_event(LOG_LEVEL_INFO, __VA_ARGS__)
#define log_warn(...) log_event(LOG_LEVEL_WARN, __VA_ARGS__)
#define log_error(...) log_event(LOG_LEVEL_ERROR, __VA_ARGS__)

#ifdef __cplusplus
}
#endif

#endif
