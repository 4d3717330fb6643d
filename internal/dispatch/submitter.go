package dispatch

// This file owns the submissions of a request: the original one and its repeats, under the same request ID or others. Each
// of them gets the final response, and each that was told that the task started is told of its completion. A submission
// must never get a second final response.

import "slices"

// maxAliases is the maximum number of request IDs under which one request may be repeated, besides its own.
const maxAliases = 64

// submitter is a client with the request ID that it used for a submission.
type submitter struct {
	client    Client
	requestID string
}

// submitters holds the submissions of a request.
type submitters struct {
	waiting []submitter // submissions without a final response
	started []submitter // submissions of the running task, which get its completion
	aliases []string    // request IDs of repeats, without the request's own
}

// await adds a submission that awaits the final response, unless it does already.
func (s *submitters) await(submission submitter) {
	if !slices.Contains(s.waiting, submission) {
		s.waiting = append(s.waiting, submission)
	}
}

// follow adds a submission of the running task, unless it was added already.
func (s *submitters) follow(submission submitter) {
	if !slices.Contains(s.started, submission) {
		s.started = append(s.started, submission)
	}
}

// withdraw removes a submission that awaits the final response, and reports whether there was one.
func (s *submitters) withdraw(submission submitter) bool {
	i := slices.Index(s.waiting, submission)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// includes reports whether a client made one of the submissions that get a response or the completion.
func (s *submitters) includes(client Client) bool {
	isBy := func(submission submitter) bool { return submission.client == client }
	return slices.ContainsFunc(s.waiting, isBy) || slices.ContainsFunc(s.started, isBy)
}

// latestClient returns the client of the latest submission that gets a response or the completion, or nil.
func (s *submitters) latestClient() Client {
	for _, submissions := range [...][]submitter{s.waiting, s.started} {
		if count := len(submissions); count > 0 {
			return submissions[count-1].client
		}
	}
	return nil
}

// recipients returns the submissions that get a response. Those that get their final response await none any more.
func (s *submitters) recipients(kind ResponseKind) (list []submitter) {
	if kind == Completed || kind == Migrated {
		return s.started
	}
	list, s.waiting = s.waiting, nil
	if kind == Started {
		s.started = slices.Clone(list)
	}
	return list
}
