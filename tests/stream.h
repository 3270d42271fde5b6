/* A stream as its caller sees it: one or more tries, at any nodes, each with an attempt id. */
#ifndef TESTS_STREAM_H
#define TESTS_STREAM_H

#include "cluster.h"

#define STREAM_ID_BYTES 32

struct stream {
	char origin[STREAM_ID_BYTES];	/* attempt that brought the first event; empty: none did */
	char version[STREAM_ID_BYTES];	/* of the software that wrote the first event */
	char began_at[STREAM_ID_BYTES]; /* upstream that wrote the first event */
	int last;			/* id of the newest event; -1: none */
	bool is_mixed;			/* events of two versions of the software */
	bool is_disordered;		/* an event is missing or came twice */
	bool is_whole;			/* the newest try ended as complete */

	/* the newest try */
	char attempt[STREAM_ID_BYTES];
	char upstream[STREAM_ID_BYTES]; /* that signed the answer; empty: none did */
	int status;			/* 0: no answer */
	int n_events;
	int64_t sent_ms;
	int64_t heard_ms; /* when its last bytes came */
	int64_t took_ms;  /* from the request to the end of the answer */
	GString *text;
	gsize read_bytes; /* of the body, whose events have been counted */
	int fd;		  /* -1: ended */
};

void stream_init(struct stream *st);

/*
 * Sends a try to a node: the first one begins the stream, later ones take it up after its newest
 * event. Ends the try before.
 */
void stream_open(struct stream *st, struct cluster *c, uint32_t node, const char *target);

/* Reads until the event with the id has come or the try has ended. Returns whether it has come. */
bool stream_read(struct stream *st, int until);

/* Reads to the end of the try. */
void stream_finish(struct stream *st);

/* The same for several, whose tries run at once. */
void stream_finish_all(struct stream *streams, size_t n);

/* Closes the connection, as a caller does that leaves; what has been read stays. */
void stream_close(struct stream *st);
void stream_clear(struct stream *st);

#endif
