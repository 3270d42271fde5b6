/* List of header fields in message order. Names are compared without regard to case. */
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

/* Copies name and value. */
void hdr_add(struct hdr_list *list, const char *name, const char *value);
void hdr_add_int(struct hdr_list *list, const char *name, int64_t value);

/* Takes ownership of name and value. */
void hdr_add_owned(struct hdr_list *list, char *name, char *value);

/* Returns the first value with that name, borrowed; NULL if there is none. */
const char *hdr_get(const struct hdr_list *list, const char *name);

/* Appends the fields as in an HTTP/1.1 message. */
void hdr_write(const struct hdr_list *list, GString *out);

/* Frees the fields; the list can be reused. */
void hdr_clear(struct hdr_list *list);

/*
 * True if all bytes may stand in a field name (RFC 9110, 5.6.2). http_parser also takes spaces in
 * names, which RFC 9112, 5.1, forbids: recipients differ in the field that such a name means.
 */
bool hdr_is_name_part(const char *at, size_t len);

/* True for hop-by-hop fields (RFC 9110, 7.6.1) and for the fields that frame the body. */
bool hdr_is_hop_by_hop(const char *name);

#endif
