/* Shared by the parts of the listener for callers; not for other modules. */
#ifndef NODE_ENTRY_INT_H
#define NODE_ENTRY_INT_H

#include "node/node.h"

#define HEADER_REQUEST "Currantscale-Request"
#define HEADER_OUTCOME "Currantscale-Outcome"
#define HEADER_TICKET "Currantscale-Ticket"
#define HEADER_DEADLINE "Currantscale-Deadline-Ms"

/* Queues an error; the request's code and outcome are set. */
enum MHD_Result entry_queue_error(struct MHD_Connection *conn, struct httpreq *httpreq);

/* Queues the whole answer; one without a body is empty. */
enum MHD_Result entry_queue_answer(struct MHD_Connection *conn, struct httpreq *httpreq);

/* Queues what is known of a request: a stream, an answer, an error, or nothing yet. */
enum MHD_Result entry_queue_result(struct MHD_Connection *conn, struct httpreq *httpreq);

#endif
