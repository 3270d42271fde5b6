/* What is wrong with a published configuration: references and values that can't serve. */
#ifndef MODEL_PUB_CHECK_H
#define MODEL_PUB_CHECK_H

#include "model/pub.h"

/* GPtrArray of char *, a fault each, empty when there is none; free with g_ptr_array_unref(). */
GPtrArray *pub_check(const struct pub_doc *doc);

#endif
