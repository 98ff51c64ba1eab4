// Package objector reads and writes the platform's objects.
package objector

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/platform/requester"
)

const (
	bucket         = "sassafrasspur"
	defaultRegion  = "us-east-1"
	defaultTimeout = 2 * time.Second
)

// Objector is a client of the platform's object store. It may be used
// concurrently.
type Objector struct {
	client   *s3.Client
	endpoint string
	region   string
	key      string
	secret   string
	timeout  time.Duration
	observe  func(*http.Request, error)
}

// Option changes how New builds an Objector.
type Option func(*Objector)

// WithEndpoint sets the URL of the object store.
func WithEndpoint(url string) Option { return func(o *Objector) { o.endpoint = url } }

// WithRegion sets the region that requests are signed for.
func WithRegion(region string) Option { return func(o *Objector) { o.region = region } }

// WithCredentials sets the key that requests are signed with.
func WithCredentials(key, secret string) Option {
	return func(o *Objector) { o.key, o.secret = key, secret }
}

// WithTimeout bounds one request.
func WithTimeout(d time.Duration) Option { return func(o *Objector) { o.timeout = d } }

// WithObserver sets what is told of each request and its failure.
func WithObserver(observe func(*http.Request, error)) Option {
	return func(o *Objector) { o.observe = observe }
}

// New returns a client of the object store.
func New(options ...Option) *Objector {
	o := &Objector{region: defaultRegion, timeout: defaultTimeout, observe: func(*http.Request, error) {}}
	for _, option := range options {
		option(o)
	}
	o.client = s3.New(s3.Options{
		BaseEndpoint: aws.String(o.endpoint),
		Region:       o.region,
		Credentials:  credentials.NewStaticCredentialsProvider(o.key, o.secret, ""),
		UsePathStyle: true,
		Retryer:      aws.NopRetryer{},
		HTTPClient:   requester.New(requester.WithTimeout(o.timeout), requester.WithObserver(o.observe)),
		// The published protocol of the platform has no checksum trailers.
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return o
}

// Put writes an object. After an error it may have been written.
func (o *Objector) Put(ctx context.Context, key string, content []byte) error {
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(bucket),
		Key:    aws.String(key),
		Body:   bytes.NewReader(content),
	})
	return errors.Annotatef(err, "writing object %s", key)
}

// Get reads an object. It returns false if there is none.
func (o *Objector) Get(ctx context.Context, key string) ([]byte, bool, error) {
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(bucket),
		Key:    aws.String(key),
	})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, errors.Annotatef(err, "reading object %s", key)
	}
	defer func() { _ = out.Body.Close() }()
	content, err := io.ReadAll(out.Body)
	if err != nil {
		return nil, false, errors.Annotatef(err, "reading object %s", key)
	}
	return content, true, nil
}

// Delete removes an object. Removing one that does not exist is no error.
func (o *Objector) Delete(ctx context.Context, key string) error {
	_, err := o.client.DeleteObject(ctx, &s3.DeleteObjectInput{
		Bucket: aws.String(bucket),
		Key:    aws.String(key),
	})
	return errors.Annotatef(err, "deleting object %s", key)
}
