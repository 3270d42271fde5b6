/* Validates the references and values of a published configuration. */
#ifndef MODEL_PUB_CHECK_H
#define MODEL_PUB_CHECK_H

#include "model/pub.h"

/*
 * Returns a GPtrArray of char * with one message per fault. The caller releases it with
 * g_ptr_array_unref().
 */
GPtrArray *pub_check(const struct pub_doc *doc);

/*
 * Returns why an entry names no upstream that can be used, borrowed; NULL: it names one. Entries
 * come from other writers and other nodes too, so that everything in them is checked.
 */
const char *pub_upstream_fault(const struct pub_upstream *u);

#endif
