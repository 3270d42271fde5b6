/* Validates the references and values of a published configuration. */
#ifndef MODEL_PUB_CHECK_H
#define MODEL_PUB_CHECK_H

#include "model/pub.h"

/*
 * Returns a GPtrArray of char * with one message per fault. The caller releases it with
 * g_ptr_array_unref().
 */
GPtrArray *pub_check(const struct pub_doc *doc);

#endif
