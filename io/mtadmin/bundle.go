package mtadmin

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtoperator"
)

// bundle answers with the bundle in force, from the store: an operator who
// prepares the next one must not start from a daemon's older view.
func (s *Server) bundle(c echo.Context, _ *mtoperator.Operator) error {
	life, _, err := s.config.Rollout.Lifecycle(c.Request().Context(), businessOf(c))
	if err != nil {
		return err
	}
	if life.InForce == nil {
		return &MissingError{What: "a bundle of " + string(life.Business)}
	}
	return s.document(c, http.StatusOK, describe(life.InForce, true))
}

// document answers with a bundle under the ETag of its version.
func (s *Server) document(c echo.Context, status int, d BundleDocument) error {
	tag := etag(d.Version)
	c.Response().Header().Set("ETag", tag)
	if c.Request().Method == http.MethodGet && c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(status, d)
}

func etag(v mtid.Version) string { return fmt.Sprintf("%q", strconv.FormatUint(uint64(v), 10)) }

func (s *Server) drafts(c echo.Context, _ *mtoperator.Operator) error {
	life, tag, err := s.config.Rollout.Lifecycle(c.Request().Context(), businessOf(c))
	if err != nil {
		return err
	}
	var open []BundleDocument
	for _, draft := range life.Drafts {
		if draft.Version == life.Version()+1 {
			open = append(open, s.open(life, draft, false))
		}
	}
	slices.SortFunc(open, func(a, b BundleDocument) int { return cmp.Compare(a.Digest, b.Digest) })
	page, err := paginate(c, open, func(d BundleDocument) string { return d.Digest })
	if err != nil {
		return err
	}
	c.Response().Header().Set("ETag", etag(tag))
	return c.JSON(http.StatusOK, page)
}

// open describes an open proposal: of its signatures only those that count.
func (s *Server) open(life *mtbundle.Lifecycle, draft *mtbundle.Stored, text bool) BundleDocument {
	d := describe(draft, text)
	signed, needed, err := life.ValidSigners(draft)
	if err != nil {
		return d
	}
	d.Signed = append([]string{}, signed...)
	d.Needed = needed
	return d
}

func (s *Server) draft(c echo.Context, _ *mtoperator.Operator) error {
	version, err := versionOf(c)
	if err != nil {
		return err
	}
	life, _, err := s.config.Rollout.Lifecycle(c.Request().Context(), businessOf(c))
	if err != nil {
		return err
	}
	for _, draft := range life.Drafts {
		if draft.Version == version && draft.Digest().String() == c.Param("digest") {
			return s.document(c, http.StatusOK, s.open(life, draft, true))
		}
	}
	return &mtbundle.DraftNotFoundError{Business: life.Business, Version: version, Digest: c.Param("digest")}
}

func (s *Server) propose(c echo.Context, o *mtoperator.Operator) error {
	text, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	stored, err := s.config.Rollout.Propose(c.Request().Context(), s.config.Now(), businessOf(c), o.Name, text)
	if err != nil {
		return err
	}
	c.Response().Header().Set(echo.HeaderLocation,
		fmt.Sprintf("/v1/businesses/%s/drafts/%d/%s", stored.Business, stored.Version, stored.Digest()))
	return s.document(c, http.StatusCreated, describe(stored, false))
}

func (s *Server) sign(c echo.Context, _ *mtoperator.Operator) error {
	version, err := versionOf(c)
	if err != nil {
		return err
	}
	var document SignatureDocument
	if err := c.Bind(&document); err != nil {
		return &ParameterError{Field: "body", Accept: "JSON with signer and value"}
	}
	sig := mtbundle.Signature{Signer: document.Signer, Value: document.Value}
	stored, err := s.config.Rollout.Sign(c.Request().Context(), businessOf(c), version, c.Param("digest"), sig)
	if err != nil {
		return err
	}
	return s.document(c, http.StatusOK, describe(stored, false))
}

// accept puts a proposal in force. If-Match names the version in force that
// the operator knows of; a proposal for any other is refused before it is
// looked at, unless it is in force already.
func (s *Server) accept(c echo.Context, o *mtoperator.Operator) error {
	version, err := versionOf(c)
	if err != nil {
		return err
	}
	match := c.Request().Header.Get("If-Match")
	if match != "" && match != etag(version-1) {
		return problem(http.StatusPreconditionFailed, ReasonMoved, "If-Match does not fit the proposal",
			fmt.Sprintf("version %d follows %s, not %s", version, etag(version-1), match))
	}
	stored, err := s.config.Rollout.Accept(c.Request().Context(), s.config.Now(), businessOf(c), version, c.Param("digest"), o.Name)
	if err != nil {
		return err
	}
	return s.document(c, http.StatusOK, describe(stored, false))
}

// maxHistory bounds a page of the history: each item is a read of the store.
const maxHistory = 20

func (s *Server) history(c echo.Context, _ *mtoperator.Operator) error {
	limit, err := limitOf(c, maxHistory)
	if err != nil {
		return err
	}
	before, err := number("after", c.QueryParam("after"), 0)
	if err != nil {
		return err
	}
	stored, next, err := s.config.Rollout.History(c.Request().Context(), businessOf(c), mtid.Version(before), limit)
	if err != nil {
		return err
	}
	page := Page[BundleDocument]{Items: []BundleDocument{}}
	for _, b := range stored {
		page.Items = append(page.Items, describe(b, false))
	}
	if next > 0 {
		page.Next = strconv.FormatUint(uint64(next), 10)
	}
	return c.JSON(http.StatusOK, page)
}

func (s *Server) version(c echo.Context, _ *mtoperator.Operator) error {
	version, err := versionOf(c)
	if err != nil {
		return err
	}
	stored, err := s.config.Rollout.Version(c.Request().Context(), businessOf(c), version)
	if err != nil {
		return err
	}
	return s.document(c, http.StatusOK, describe(stored, true))
}

func versionOf(c echo.Context) (mtid.Version, error) {
	n, err := number("version", c.Param("version"), 1)
	return mtid.Version(n), err
}

// number reads a whole number from low on; an empty one is low.
func number(field, value string, low uint64) (uint64, error) {
	if value == "" {
		return low, nil
	}
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil || n < low {
		return 0, &ParameterError{Field: field, Value: value, Accept: fmt.Sprintf("a whole number from %d", low)}
	}
	return n, nil
}

// Bounds of a page.
const (
	defaultLimit = 50
	maxLimit     = 500
)

// limitOf returns how many items a page may have.
func limitOf(c echo.Context, most int) (int, error) {
	text := c.QueryParam("limit")
	if text == "" {
		return min(defaultLimit, most), nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > most {
		return 0, &ParameterError{Field: "limit", Value: text, Accept: fmt.Sprintf("a whole number from 1 to %d", most)}
	}
	return n, nil
}

// paginate cuts a page from items. cursor returns an item's place in the order
// of the list; the page begins after the parameter "after".
func paginate[T any](c echo.Context, items []T, cursor func(T) string) (Page[T], error) {
	return paginateUpTo(c, items, cursor, maxLimit)
}

func paginateUpTo[T any](c echo.Context, items []T, cursor func(T) string, most int) (Page[T], error) {
	limit, err := limitOf(c, most)
	if err != nil {
		return Page[T]{}, err
	}
	after := c.QueryParam("after")
	start := 0
	if after != "" {
		for start < len(items) && strings.Compare(cursor(items[start]), after) <= 0 {
			start++
		}
	}
	page := Page[T]{Items: append([]T{}, items[start:min(start+limit, len(items))]...)}
	if start+limit < len(items) {
		page.Next = cursor(page.Items[limit-1])
	}
	return page, nil
}
