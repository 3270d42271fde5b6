/* A list of header fields in the order in which they came. Names compare without regard to case. */
#ifndef HTTP_HDR_H
#define HTTP_HDR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct hdr {
	char *name;
	char *value;
};

struct hdr_list {
	struct hdr *at;
	uint32_t n;
	uint32_t room;
};

/* Copies both. */
void hdr_add(struct hdr_list *list, const char *name, const char *value);
void hdr_add_int(struct hdr_list *list, const char *name, int64_t value);

/* Takes ownership of both. */
void hdr_add_owned(struct hdr_list *list, char *name, char *value);

/* The first value of that name, or NULL; borrowed. */
const char *hdr_get(const struct hdr_list *list, const char *name);

/* Writes the fields as they stand in a message. */
void hdr_write(const struct hdr_list *list, GString *out);

/* Frees the fields; the list can be used again. */
void hdr_clear(struct hdr_list *list);

/* True for the fields that concern one connection only (RFC 9110, 7.6.1) or frame the body. */
bool hdr_is_hop_by_hop(const char *name);

#endif
