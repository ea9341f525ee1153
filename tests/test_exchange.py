"""Tests of one HTTP exchange: the head of a request and the parsed answer."""

from __future__ import annotations

import httptools
import pytest

from ragworttiller.platform.exchange import AnswerParser, NotSent, request_head


def parsed(data: bytes, method: str = "GET") -> AnswerParser:
    parser = AnswerParser(method)
    for index in range(len(data)):
        parser.feed(data[index : index + 1])
    return parser


class TestRequestHead:
    def test_the_head_ends_with_an_empty_line(self):
        head = request_head("POST", "/-/hold", [("host", "h:1"), ("content-length", "2")])
        assert head == b"POST /-/hold HTTP/1.1\r\nhost: h:1\r\ncontent-length: 2\r\n\r\n"

    @pytest.mark.parametrize(
        ("target", "value"), [("/a b", "v"), ("/a\r\n", "v"), ("/a", "v\r\nx: y"), ("/a", "\u20ac")]
    )
    def test_a_name_from_outside_cannot_add_a_header(self, target, value):
        with pytest.raises(NotSent):
            request_head("GET", target, [("x", value)])


class TestAnswerParser:
    def test_an_answer_in_single_bytes(self):
        parser = parsed(b"HTTP/1.1 409 Conflict\r\nX-A: b\r\nContent-Length: 2\r\n\r\n{}")
        assert parser.complete and parser.reusable
        assert parser.answer() == (409, [("x-a", "b"), ("content-length", "2")], b"{}")

    def test_chunks_are_joined(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        parser = parsed(head + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        assert (parser.answer().body, parser.reusable) == (b"abc", True)

    def test_an_interim_answer_is_skipped(self):
        final = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        parser = parsed(b"HTTP/1.1 100 Continue\r\n\r\n" + final)
        assert parser.complete
        assert parser.answer().status == 200

    def test_a_cut_answer_is_not_complete(self):
        parser = parsed(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        assert not parser.end()

    def test_a_body_without_length_ends_with_the_connection(self):
        parser = parsed(b"HTTP/1.1 200 OK\r\n\r\nall")
        assert not parser.complete
        assert parser.end()
        assert (parser.answer().body, parser.reusable) == (b"all", False)

    def test_an_answer_to_head_has_no_body(self):
        parser = parsed(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HEAD")
        assert parser.complete

    def test_a_connection_with_more_than_one_answer_is_not_used_again(self):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
        parser = AnswerParser("GET")
        parser.feed(answer + b"a" + answer + b"b")
        assert parser.answer().body == b"a"
        assert not parser.reusable

    def test_a_server_that_closes_is_not_used_again(self):
        parser = parsed(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        assert parser.complete and not parser.reusable

    def test_malformed_bytes_are_an_error(self):
        with pytest.raises(httptools.HttpParserError):
            parsed(b"HTTP/1.1 OK\r\n\r\n")
