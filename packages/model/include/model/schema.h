/*
 * Table-driven decoding of YAML documents into C structs. Reports every fault with its position,
 * not only the first. Strings are owned by the destination and freed by schema_clear().
 */
#ifndef MODEL_SCHEMA_H
#define MODEL_SCHEMA_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum schema_type {
	SCHEMA_STR,	 /* char * */
	SCHEMA_INT,	 /* int64_t within min..max */
	SCHEMA_BOOL,	 /* bool */
	SCHEMA_ENUM,	 /* int, index into names */
	SCHEMA_LIST,	 /* array of item structs; pointer at off, uint32_t count at off_n */
	SCHEMA_STR_LIST, /* array of char *; pointer at off, uint32_t count at off_n */
};

struct schema_map;

struct schema_field {
	const char *key;
	enum schema_type type;
	size_t off;
	size_t off_n;
	bool required;
	int64_t min;
	int64_t max;
	int64_t fallback;	  /* value of an absent optional int, bool or enum */
	const char *const *names; /* values of an enum, NULL-terminated */
	const struct schema_map *item;
};

struct schema_map {
	const struct schema_field *fields;
	uint32_t n_fields;
	size_t size;	 /* of the struct */
	size_t off_line; /* offset of the int that is set to the line of the mapping; 0: none */
};

struct schema_fault {
	char *section; /* top-level key, "" for the document itself */
	int line;      /* from 1; 0: unknown */
	int column;
	char *key;
	int code; /* enum err_code */
	char *reason;
};

void schema_fault_free(struct schema_fault *fault);

/* Returns an array of struct schema_fault, to be released with g_ptr_array_unref(). */
GPtrArray *schema_faults_new(void);

void schema_add_fault(GPtrArray *faults, const char *section, int line, int column, const char *key,
		      int code, const char *format, ...) G_GNUC_PRINTF(7, 8);

struct schema_doc;

/*
 * Parses text. Returns NULL, with a fault added, when it is not valid YAML, contains aliases or is
 * not a mapping. The caller frees the result with schema_doc_free().
 */
struct schema_doc *schema_doc_new(const char *text, size_t len, GPtrArray *faults);
void schema_doc_free(struct schema_doc *doc);

/* Sets the line, from 1, that the text has within a larger document. */
void schema_doc_set_first_line(struct schema_doc *doc, int line);

/* Fills dst, zeroed first, from the whole document. Returns false when a fault was added. */
bool schema_load_doc(struct schema_doc *doc, const struct schema_map *map, void *dst,
		     GPtrArray *faults);

/*
 * Fills dst from the section under a top-level key. Sets *present, and *line to the line of the key
 * when the section is present. Returns false when a fault was added.
 */
bool schema_load_section(struct schema_doc *doc, const char *section, const struct schema_map *map,
			 void *dst, bool *present, int *line, GPtrArray *faults);

/*
 * Adds a fault for each unknown or duplicate top-level key. names is NULL-terminated. Returns false
 * when a fault was added.
 */
bool schema_check_sections(struct schema_doc *doc, const char *const *names, GPtrArray *faults);

/* Makes a deep copy of a loaded struct, to be freed with schema_clear(). */
void schema_copy(const struct schema_map *map, void *dst, const void *src);

/* Frees the contents of dst, not dst itself. */
void schema_clear(const struct schema_map *map, void *dst);

#ifdef __cplusplus
}
#endif

#endif
