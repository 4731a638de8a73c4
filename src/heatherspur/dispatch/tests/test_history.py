"""Requests whose link was lost in transit or while they ran at a target."""

from heatherspur.dispatch.history import RequestHistory, RequestKey
from heatherspur.dispatch.pending import FinalAnswer
from heatherspur.dispatch.tests.builders import (
    make_dispatcher,
    make_member,
    make_request,
    make_route,
)
from heatherspur.exchange import SendTo
from heatherspur.link import messages as m

NAME = RequestKey("10.0.0.1:80", "aa", 7)
ANSWER = m.Answer(7, 200, (), b"ok")


def test_unknown_request_is_reported_not_run_and_then_rejected():
    history = RequestHistory()
    assert isinstance(history.resolve(NAME, 0.0), m.NotRun)
    assert not history.start(NAME, 0.1)


def test_running_request_is_neither_rerun_nor_reported_as_not_run():
    history = RequestHistory()
    assert history.start(NAME, 0.0)
    assert history.resolve(NAME, 0.1) is None
    assert not history.start(NAME, 0.2)


def test_answer_is_stored_for_its_entry():
    history = RequestHistory()
    history.start(NAME, 0.0)
    history.finish(NAME, ANSWER, 0.5)
    assert history.resolve(NAME, 1.0) == ANSWER


def test_expired_answer_is_not_reported_as_not_run():
    history = RequestHistory()
    history.start(NAME, 0.0)
    history.finish(NAME, ANSWER, 0.5)
    history.expire(20.0)
    assert isinstance(history.resolve(NAME, 20.0), m.Failed)


def test_evicted_answer_is_not_reported_as_not_run():
    history = RequestHistory()
    for number in range(1500):
        name = NAME._replace(number=number)
        history.start(name, 0.0)
        history.finish(name, ANSWER, 0.0)
    assert isinstance(history.resolve(NAME._replace(number=0), 0.1), m.Failed)
    assert history.resolve(NAME._replace(number=1499), 0.1) == ANSWER


def test_entry_resumes_over_a_new_link_and_delivers_the_answer():
    dispatcher = make_dispatcher(make_member(2))
    request = make_request(route=make_route(idempotent=False))
    (reserve,) = list(dispatcher.open(request, 0.0))
    number, node = reserve.message.number, reserve.node
    list(dispatcher.receive(m.Grant(number, 0, 300, 5), node, 0.0))
    messages = list(dispatcher.handle_link_loss(node, 0.1))
    assert not any(isinstance(x, FinalAnswer) for x in messages)
    messages = list(dispatcher.tick(0.15))
    assert SendTo(node, m.Resume(number, 5)) in messages
    answer = m.Answer(number, 200, (), b"ok")
    messages = list(dispatcher.receive(answer, node, 0.3))
    assert [x.status for x in messages if isinstance(x, FinalAnswer)] == [200]
