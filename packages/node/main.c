/* currantscaled: the node daemon. */
#include "base/log.h"
#include "node/node.h"
#include "node/release.h"
#include "platform.h"
#include "serve/srv.h"

#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define EXIT_SETTINGS 2
#define EXIT_START 3
/* Each arena retains memory that a parse frees; 2 suffice for the expected 11 requests a second. */
#define ARENAS_MAX 2
#define TRIM_BYTES (128 * 1024) /* if unset, it grows with the largest block freed */
#define DRAIN_POLL_MS 50

const char *argp_program_version = "currantscaled " CS_VERSION;

struct args {
	const char *settings;
};

static error_t parse_arg(int key, char *arg, struct argp_state *state)
{
	struct args *args = state->input;

	if (key == ARGP_KEY_ARG && !args->settings)
		args->settings = arg;
	else if (key == ARGP_KEY_ARG || key == ARGP_KEY_END) {
		if (!args->settings || key == ARGP_KEY_ARG)
			argp_usage(state);
	} else {
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp argp = {
	.parser = parse_arg,
	.args_doc = "SETTINGS",
	.doc = "Runs one node of currantscale with the settings of a YAML file.\v"
	       "Exit status: 0 after a planned stop, 2 on invalid settings, 3 on a failed start. "
	       "SIGTERM or SIGINT begins a planned stop; a second signal shortens it.",
};

static void print_ready(const struct node_server *n)
{
	printf("{\"event\":\"listening\",\"vm\":\"%s\",\"caller\":\"%s\",\"admin\":\"%s\","
	       "\"peer\":\"%s\"}\n",
	       n->set->vm, n->caller_address, n->admin_address, peer_address(n->peer));
	fflush(stdout);
}

/* Runs a planned stop to its end. A further signal ends the wait for open requests. */
static void drain(struct node_server *n, const sigset_t *signals)
{
	const struct timespec poll = {.tv_nsec = DRAIN_POLL_MS * 1000000L};
	bool hurry = false;

	release_begin(n->releaser);
	while (release_step(n->releaser, hurry) != DRAIN_DONE)
		hurry = sigtimedwait(signals, NULL, &poll) > 0 || hurry;
}

/* Adapters that a settings file can name. */
static const struct adapter_ops *const adapters[] = {&platform_ops};

static const struct adapter_ops *find_adapter(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(adapters); i++) {
		if (strcmp(adapters[i]->name, name) == 0)
			return adapters[i];
	}
	return NULL;
}

/* Runs a node that serves through an adapter; returns the exit status. */
static int run_adapted(const char *path)
{
	enum log_level level = LOG_LEVEL_INFO;
	const struct adapter_ops *adapter;
	GError *error = NULL;
	struct srvconf *set = srvconf_load(path, &error);
	struct srv *s;

	adapter = set ? find_adapter(set->adapter) : NULL;
	if (!adapter || (set->log_level && !log_parse_level(set->log_level, &level))) {
		fprintf(stderr, "currantscaled: %s\n",
			error ? error->message
			      : "the settings name an unknown adapter or an unknown log_level");
		return EXIT_SETTINGS;
	}
	log_set_level(level);
	log_set_name(set->vm);
	signal(SIGPIPE, SIG_IGN);
	log_start_queue((uint32_t)set->log_lines_per_s);
	s = srv_new(set, path, adapter, &error);
	if (!s) {
		log_stop_queue();
		fprintf(stderr, "currantscaled: %s\n", error->message);
		return EXIT_START;
	}
	srv_run(s);
	log_stop_queue();
	return 0;
}

int main(int argc, char **argv)
{
	struct args args = {0};
	GError *error = NULL;
	enum log_level level = LOG_LEVEL_INFO;
	sigset_t signals;
	struct settings *set;
	struct node_server *n;
	int sig;

	mallopt(M_ARENA_MAX, ARENAS_MAX);
	mallopt(M_TRIM_THRESHOLD, TRIM_BYTES);
	argp_parse(&argp, argc, argv, 0, NULL, &args);
	if (srvconf_has_adapter(args.settings))
		return run_adapted(args.settings);
	set = settings_load(args.settings, &error);
	if (!set || (set->log_level && !log_parse_level(set->log_level, &level))) {
		fprintf(stderr, "currantscaled: %s\n",
			error ? error->message : "the settings name an unknown log_level");
		return EXIT_SETTINGS;
	}
	log_set_level(level);
	log_set_name(set->vm);
	/* blocked before any thread starts, so that only this thread receives the signals */
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	n = node_new(set, &error);
	if (!n) {
		fprintf(stderr, "currantscaled: %s\n", error->message);
		return EXIT_START;
	}
	print_ready(n);
	sigwait(&signals, &sig);
	drain(n, &signals);
	node_free(n);
	settings_free(set);
	log_info("stopped", NULL);
	return 0;
}
