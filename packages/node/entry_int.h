/* Internal to the caller listener: names of its headers, and functions that queue responses. */
#ifndef NODE_ENTRY_INT_H
#define NODE_ENTRY_INT_H

#include "node/node.h"

#define HEADER_REQUEST "Currantscale-Request"
#define HEADER_OUTCOME "Currantscale-Outcome"
#define HEADER_TICKET "Currantscale-Ticket"
#define HEADER_DEADLINE "Currantscale-Deadline-Ms"

/* Queues an error response from the request's code and outcome. */
enum MHD_Result entry_queue_error(struct MHD_Connection *conn, struct httpreq *httpreq);

/* Queues the whole answer, or an empty one if there is no body. */
enum MHD_Result entry_queue_answer(struct MHD_Connection *conn, struct httpreq *httpreq);

/* Queues the response for the request's state: a stream, an answer, an error, or none yet. */
enum MHD_Result entry_queue_result(struct MHD_Connection *conn, struct httpreq *httpreq);

#endif
